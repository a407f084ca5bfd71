#ifndef AUBURNRAIL_CONSENSUS_CONSENSUSHOOKS_H
#define AUBURNRAIL_CONSENSUS_CONSENSUSHOOKS_H

#include <absl/status/status.h>
#include <consensus/LogIndex.h>
#include <consensus/Message.h>
#include <consensus/PersistBatch.h>
#include <consensus/Term.h>
#include <core/Time.h>

#include <functional>
#include <string>

namespace auburnrail {

/// How a ConsensusNode acts on the outside. All hooks are called during tick, receive, propose and
/// storeSnapshot; none may call the node. All must be set.
struct ConsensusHooks
{
    /// Makes the batch durable before it returns. After an error the node does nothing any more.
    std::function<auto(const PersistBatch &)->absl::Status> persist;

    /// Sends a message to `message.to.name`. Called after the persist that it depends on.
    std::function<auto(Message)->void> send;

    /// Hands over a committed command, once and in index order for each start of the node.
    std::function<auto(LogIndex, Term, const std::string &)->void> committed;

    /// Replaces the caller's state by a snapshot received from the leader. Entries up to `index`
    /// are not handed over any more.
    std::function<auto(const std::string &, LogIndex, Term)->void> installSnapshot;

    /// True when this member leads `term` and everything committed in earlier terms was handed
    /// over; false when that ends.
    std::function<auto(bool, Term)->void> leadershipChanged;

    /// A proposal made here in `term` at this index was not committed before leadership ended. It
    /// may still be committed by a later leader, so its outcome is unknown.
    std::function<auto(LogIndex, Term)->void> proposalLost;

    /// The caller should call storeSnapshot with its state after the last committed entry handed
    /// over, which is at or before this index.
    std::function<auto(LogIndex)->void> snapshotDue;

    /// Draws an election timeout between the two limits of the settings.
    std::function<auto()->Duration> randomTimeout;
};

} // namespace auburnrail

#endif
