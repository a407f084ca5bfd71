#ifndef AUBURNRAIL_WIRE_CONSENSUSCONVERTER_H
#define AUBURNRAIL_WIRE_CONSENSUSCONVERTER_H

#include <Consensus_types.h>
#include <consensus/LogEntry.h>
#include <consensus/Message.h>
#include <consensus/Snapshot.h>

#include <absl/status/statusor.h>

namespace auburnrail::detail {

/// Conversions between the domain's consensus values and the generated ones. Conversions to the
/// domain fail with `kDataLoss` when an enumerator or a message type is not known.
[[nodiscard]] auto toWire(const LogEntry &entry) -> wire::LogEntry;
[[nodiscard]] auto toWire(const Snapshot &snapshot) -> wire::Snapshot;
[[nodiscard]] auto toWire(const Message &message) -> wire::Message;

[[nodiscard]] auto fromWire(const wire::LogEntry &entry) -> absl::StatusOr<LogEntry>;
[[nodiscard]] auto fromWire(const wire::Snapshot &snapshot) -> absl::StatusOr<Snapshot>;
[[nodiscard]] auto fromWire(const wire::Message &message) -> absl::StatusOr<Message>;

} // namespace auburnrail::detail

#endif
