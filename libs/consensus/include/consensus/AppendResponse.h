#ifndef AUBURNRAIL_CONSENSUS_APPENDRESPONSE_H
#define AUBURNRAIL_CONSENSUS_APPENDRESPONSE_H

#include <consensus/LogIndex.h>
#include <core/Time.h>

namespace auburnrail {

/// Answer to an AppendRequest.
struct AppendResponse
{
    bool accepted = false;
    LogIndex matchIndex = 0; ///< Accepted: last entry known to equal the leader's.
    LogIndex retryFrom = 0;  ///< Refused: index from which the leader should send.
    Duration sentAt{};       ///< Copied from the request.

    auto operator==(const AppendResponse &) const -> bool = default;
};

} // namespace auburnrail

#endif
