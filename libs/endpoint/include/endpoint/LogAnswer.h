#ifndef AUBURNRAIL_ENDPOINT_LOGANSWER_H
#define AUBURNRAIL_ENDPOINT_LOGANSWER_H

#include <endpoint/GroupLogEntry.h>

#include <core/Position.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Answer to a LogRequest.
struct LogAnswer
{
    std::string exchangeId;
    std::uint64_t term = 0; ///< Term of the source; the entries count only in the same term.
    bool primary = false;   ///< The source is the primary of the term.
    bool matches = false;   ///< The source's log holds the entry `after` of the request.
    bool complete = false;  ///< No entry follows the last one of the answer.
    Position after;         ///< As in the request.
    Position lastCommon;    ///< Unless matches: the replica drops its entries after this position.
    std::vector<GroupLogEntry> entries;
};

} // namespace auburnrail

#endif
