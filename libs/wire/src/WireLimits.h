#ifndef AUBURNRAIL_WIRE_WIRELIMITS_H
#define AUBURNRAIL_WIRE_WIRELIMITS_H

#include <cstdint>

namespace auburnrail::detail {

/// Items that a list or map of a received message may announce. Without a limit Thrift 0.17 checks
/// the announced size with a product that overflows for damaged bytes, and then allocates for it.
constexpr auto MAX_CONTAINER_ITEMS = std::int32_t(1000000);

/// Thrift's value for "no limit"; the size of a string is limited by that of its message.
constexpr auto NO_STRING_LIMIT = std::int32_t(0);

/// Upper bound of a state or an update after decompression, in bytes.
constexpr auto MAX_PAYLOAD_BYTES = std::int32_t(64) * 1024 * 1024;

} // namespace auburnrail::detail

#endif
