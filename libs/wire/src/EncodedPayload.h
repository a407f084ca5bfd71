#ifndef AUBURNRAIL_WIRE_ENCODEDPAYLOAD_H
#define AUBURNRAIL_WIRE_ENCODEDPAYLOAD_H

#include "Compression.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace auburnrail::detail {

/// Smaller values are sent as they are: their size hardly matters beside that of a packet.
constexpr auto COMPRESSED_FROM_BYTES = std::size_t(4) * 1024;

/// An encoded value, compressed if it is large.
struct EncodedPayload
{
    std::string bytes;
    /// Size in bytes before compression; empty if the value is not compressed.
    std::optional<std::int32_t> uncompressedBytes;
};

inline auto toPayload(std::string encoded) -> EncodedPayload
{
    if (encoded.size() < COMPRESSED_FROM_BYTES)
        return {std::move(encoded), std::nullopt};
    return {compress(encoded), static_cast<std::int32_t>(encoded.size())};
}

} // namespace auburnrail::detail

#endif
