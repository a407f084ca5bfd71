#ifndef AUBURNRAIL_CONSENSUS_CONSENSUSSETTINGS_H
#define AUBURNRAIL_CONSENSUS_CONSENSUSSETTINGS_H

#include <consensus/LogIndex.h>
#include <consensus/MemberId.h>
#include <core/Time.h>

#include <cstddef>
#include <vector>

namespace auburnrail {

/// Number of entries between two snapshots, and number of entries kept before a snapshot so that a
/// member that was down for a short time can catch up from the log instead of a snapshot.
inline constexpr auto SNAPSHOT_INTERVAL = LogIndex(1024);
inline constexpr auto ENTRIES_KEPT_BEFORE_SNAPSHOT = LogIndex(256);

/// Default bound of the entries in the log, in bytes of their payloads.
inline constexpr auto DEFAULT_LOG_LIMIT_BYTES = std::size_t(16) * 1024 * 1024;

/// Limits and intervals of a ConsensusNode.
struct ConsensusSettings
{
    MemberId self;
    std::vector<MemberName> members; ///< Names of the members listed in the settings.
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration minElectionTimeout = std::chrono::milliseconds(500);
    Duration maxElectionTimeout = std::chrono::milliseconds(1000);
    std::size_t maxEntriesPerMessage = 64;
    std::size_t maxBytesPerMessage =
        std::size_t(256) * 1024; ///< Also the size of a snapshot chunk.
    std::size_t maxPayloadBytes = std::size_t(1024) * 1024;
    /// A learner at most this many entries behind the commit index may become a voter.
    LogIndex maxLearnerLag = 64;
    /// Whether members that are not in `members` may join, either to replace a member at another
    /// address or as learners that are available as replacements.
    bool admitsNewMembers = false;
    std::size_t voters = 0; ///< With admitsNewMembers: maximum number of voters.
    /// With admitsNewMembers: a voter that is unresponsive for this long is replaced by a learner.
    /// Must be longer than an election and shorter than the time until another disk may be lost.
    Duration replaceUnresponsiveAfter = std::chrono::milliseconds(1500);
    LogIndex snapshotInterval = SNAPSHOT_INTERVAL;
    LogIndex entriesKept = ENTRIES_KEPT_BEFORE_SNAPSHOT;
    /// Payload bytes of the committed entries in the log. A snapshot is due after half of it, and
    /// at most half of it is kept before a snapshot.
    std::size_t maxLogBytes = DEFAULT_LOG_LIMIT_BYTES;
    /// A disk that has not completed a write for this long is treated as one that refuses it.
    Duration diskStallLimit = std::chrono::milliseconds(1000);
};

} // namespace auburnrail

#endif
