#ifndef AUBURNRAIL_ENDPOINT_LOGREQUEST_H
#define AUBURNRAIL_ENDPOINT_LOGREQUEST_H

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Pull of a replica: the entries after `after`.
struct LogRequest
{
    std::string exchangeId; ///< Must come back in the answer.
    std::string endpoint;   ///< Name of the replica.
    std::uint64_t term = 0; ///< Term that the replica follows.
    Position after;         ///< Last entry of the replica's log.
    Duration waitLimit{};   ///< Longest wait for a new entry.
};

} // namespace auburnrail

#endif
