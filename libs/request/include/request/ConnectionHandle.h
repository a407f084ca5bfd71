#ifndef AUBURNRAIL_REQUEST_CONNECTIONHANDLE_H
#define AUBURNRAIL_REQUEST_CONNECTIONHANDLE_H

#include <compare>
#include <cstdint>
#include <string>

namespace auburnrail {

/// Identifies one connection of a ConnectionPool.
struct ConnectionHandle
{
    std::string endpoint;
    std::uint64_t id = 0; ///< Unique in the process; 0 for no connection.

    // Not defaulted: clang-tidy 14 reports the comparison with zero inside a defaulted one.
    auto operator<=>(const ConnectionHandle &other) const -> std::strong_ordering
    {
        const auto byEndpoint = this->endpoint.compare(other.endpoint);
        if (byEndpoint == 0)
            return this->id <=> other.id;
        return byEndpoint < 0 ? std::strong_ordering::less : std::strong_ordering::greater;
    }

    auto operator==(const ConnectionHandle &) const -> bool = default;
};

} // namespace auburnrail

#endif
