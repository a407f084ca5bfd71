#ifndef AUBURNRAIL_WIRE_RELAYCONVERSION_H
#define AUBURNRAIL_WIRE_RELAYCONVERSION_H

#include <relay/RelayMessages.h>

#include <Relay_types.h>

namespace auburnrail::detail {

[[nodiscard]] auto toFrame(const RelayMessage &message) -> thriftgen::RelayFrame;

/// Throws DecodeFault for a frame that stands for no message.
[[nodiscard]] auto fromFrame(const thriftgen::RelayFrame &frame) -> RelayMessage;

} // namespace auburnrail::detail

#endif
