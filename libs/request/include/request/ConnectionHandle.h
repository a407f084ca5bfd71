#ifndef AUBURNRAIL_REQUEST_CONNECTIONHANDLE_H
#define AUBURNRAIL_REQUEST_CONNECTIONHANDLE_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Names one connection of a ConnectionPool.
struct ConnectionHandle
{
    std::string endpoint;
    std::uint64_t id = 0; ///< Unique in the process; 0 names none.

    auto operator<=>(const ConnectionHandle &) const = default;
};

} // namespace auburnrail

#endif
