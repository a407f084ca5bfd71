#ifndef AUBURNRAIL_CONSENSUS_CONSENSUSHOOKS_H
#define AUBURNRAIL_CONSENSUS_CONSENSUSHOOKS_H

#include <consensus/LogIndex.h>
#include <consensus/Message.h>
#include <consensus/PersistBatch.h>
#include <consensus/Term.h>
#include <core/Time.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Outputs of a ConsensusNode. Hooks are called from within tick, receive, propose and
/// storeSnapshot, and must not call the node. All hooks must be set.
struct ConsensusHooks
{
    /// Begins to make the batch durable and returns without waiting for the disk. The owner writes
    /// a batch that the disk refuses again until it is durable, and then calls
    /// ConsensusNode::persisted. One batch is under way at a time.
    std::function<auto(PersistBatch)->void> persist;

    /// Sends a message to `message.to.name`. Called after the state that it depends on was
    /// persisted.
    std::function<auto(Message)->void> send;

    /// Delivers a committed command: once, and in index order, for each start of the node.
    std::function<auto(LogIndex, Term, const std::string &)->void> committed;

    /// Replaces the state machine's state with a snapshot received from the leader. Entries up to
    /// the snapshot's index are not delivered afterwards.
    std::function<auto(const std::string &, LogIndex, Term)->void> installSnapshot;

    /// Called with true when this member leads the term and everything committed in earlier terms
    /// was delivered; called with false when the leadership ends.
    std::function<auto(bool, Term)->void> leadershipChanged;

    /// A proposal of this member, with this index and term, was not committed before its leadership
    /// ended. A later leader may still commit it, so its outcome is unknown.
    std::function<auto(LogIndex, Term)->void> proposalLost;

    /// Asks the owner to call storeSnapshot with the state after the last committed entry that the
    /// state machine has applied, which is at or before this index.
    std::function<auto(LogIndex)->void> snapshotDue;

    /// Draws a random election timeout between the two limits in the settings.
    std::function<auto()->Duration> randomTimeout;
};

} // namespace auburnrail

#endif
