#ifndef AUBURNRAIL_WIRE_MESSAGEBODYCONVERTER_H
#define AUBURNRAIL_WIRE_MESSAGEBODYCONVERTER_H

#include <Consensus_types.h>
#include <consensus/Message.h>

#include <absl/status/statusor.h>

namespace auburnrail::detail {

[[nodiscard]] auto bodyToWire(const MessageBody &body) -> wire::MessageBody;

/// `kDataLoss` when no known member of the union is set.
[[nodiscard]] auto bodyFromWire(const wire::MessageBody &body) -> absl::StatusOr<MessageBody>;

} // namespace auburnrail::detail

#endif
