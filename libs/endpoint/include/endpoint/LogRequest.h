#ifndef AUBURNRAIL_ENDPOINT_LOGREQUEST_H
#define AUBURNRAIL_ENDPOINT_LOGREQUEST_H

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Request of a replica for the log entries that follow position `after`.
struct LogRequest
{
    std::string exchangeId; ///< The response must carry the same id.
    std::string endpoint;   ///< Name of the replica.
    std::uint64_t term = 0; ///< Term that the replica follows.
    Position after;         ///< Position of the last entry in the replica's log.
    Duration waitLimit{};   ///< Longest time that the source waits for a new entry.
};

} // namespace auburnrail

#endif
