#ifndef AUBURNRAIL_RELAY_RELAYCODEC_H
#define AUBURNRAIL_RELAY_RELAYCODEC_H

#include <relay/RelayMessages.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// A message that stood at the start of received bytes.
struct RelayInput
{
    RelayMessage message;
    std::size_t bytes = 0; ///< Bytes that it took.
};

/// Encoding of the messages between entries.
struct RelayCodec
{
    std::function<auto(const RelayMessage &message)->std::string> encode;

    /// Nothing while the message at the start of `bytes` is incomplete; an error when it can't be
    /// read.
    std::function<auto(std::string_view bytes)->absl::StatusOr<std::optional<RelayInput>>> decode;
};

} // namespace auburnrail

#endif
