#ifndef AUBURNRAIL_CONSENSUS_APPENDRESPONSE_H
#define AUBURNRAIL_CONSENSUS_APPENDRESPONSE_H

#include <consensus/LogIndex.h>
#include <core/Time.h>

namespace auburnrail {

/// Response to an AppendRequest.
struct AppendResponse
{
    bool accepted = false;
    LogIndex matchIndex = 0; ///< If accepted: last entry known to match the leader's log.
    LogIndex retryFrom = 0;  ///< If refused: index from which the leader should resend.
    Duration sentAt{};       ///< Copied from the request.

    auto operator==(const AppendResponse &) const -> bool = default;
};

} // namespace auburnrail

#endif
