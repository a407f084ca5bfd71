#ifndef AUBURNRAIL_WIRE_HEARTBEATSIZE_H
#define AUBURNRAIL_WIRE_HEARTBEATSIZE_H

#include <heartbeat/Heartbeat.h>

#include <cstddef>

namespace auburnrail {

/// Bytes of the heartbeat in the compact protocol, without framing, TCP and IP headers. For
/// capacity figures.
[[nodiscard]] auto encodedSize(const Heartbeat &heartbeat) -> std::size_t;

} // namespace auburnrail

#endif
