#ifndef AUBURNRAIL_CONSENSUS_CONSENSUSSETTINGS_H
#define AUBURNRAIL_CONSENSUS_CONSENSUSSETTINGS_H

#include <consensus/LogIndex.h>
#include <consensus/MemberId.h>
#include <core/Time.h>

#include <cstddef>
#include <vector>

namespace auburnrail {

/// Entries between two snapshots, and entries kept before a snapshot so that a member that was away
/// for a short time catches up by the log.
inline constexpr auto SNAPSHOT_INTERVAL = LogIndex(1024);
inline constexpr auto ENTRIES_KEPT_BEFORE_SNAPSHOT = LogIndex(256);

/// Limits and intervals of a node. The defaults are those of the design page.
struct ConsensusSettings
{
    MemberId self;
    std::vector<MemberName> members; ///< Names of all members from the settings.
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    Duration minElectionTimeout = std::chrono::milliseconds(500);
    Duration maxElectionTimeout = std::chrono::milliseconds(1000);
    std::size_t maxEntriesPerMessage = 64;
    std::size_t maxBytesPerMessage =
        std::size_t(256) * 1024; ///< Also the size of a snapshot chunk.
    std::size_t maxPayloadBytes = std::size_t(1024) * 1024;
    LogIndex learnerLag = 64; ///< A learner this close to the commit index may become a voter.
    /// Members that are not in `members` may join: those that replace others at new addresses, and
    /// spare ones.
    bool admitsNewMembers = false;
    std::size_t voters = 0; ///< With admitsNewMembers: greatest number of voters.
    /// With admitsNewMembers: a voter that is silent for this long gives its place to a spare
    /// member. Longer than elections, shorter than the time until the next disk may be lost.
    Duration displaceAfter = std::chrono::milliseconds(1500);
    LogIndex snapshotInterval = SNAPSHOT_INTERVAL;
    LogIndex entriesKept = ENTRIES_KEPT_BEFORE_SNAPSHOT;
};

} // namespace auburnrail

#endif
