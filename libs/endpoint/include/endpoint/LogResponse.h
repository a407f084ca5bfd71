#ifndef AUBURNRAIL_ENDPOINT_LOGRESPONSE_H
#define AUBURNRAIL_ENDPOINT_LOGRESPONSE_H

#include <endpoint/GroupLogEntry.h>

#include <core/Position.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Response to a LogRequest.
struct LogResponse
{
    std::string exchangeId;
    std::uint64_t term = 0; ///< Term of the source; the entries are valid only in this term.
    bool primary = false;   ///< The source is the primary of the term.
    bool matches = false;   ///< The source's log holds the entry `after` of the request.
    bool complete = false;  ///< The source's log has no entry after those of the response.
    Position after;         ///< As in the request.
    Position lastCommon; ///< If not `matches`: the replica drops its entries after this position.
    std::vector<GroupLogEntry> entries;
};

} // namespace auburnrail

#endif
