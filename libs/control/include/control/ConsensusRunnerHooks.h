#ifndef AUBURNRAIL_CONTROL_CONSENSUSRUNNERHOOKS_H
#define AUBURNRAIL_CONTROL_CONSENSUSRUNNERHOOKS_H

#include <control/DiskStatus.h>

#include <consensus/LogIndex.h>
#include <consensus/Message.h>
#include <consensus/Term.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Callbacks of a ConsensusRunner. They are called in order, one at a time, with no lock held, on
/// whichever thread called the runner; they may call the runner, except for stop(). All must be
/// set. ConsensusHooks describes those with the same name.
struct ConsensusRunnerHooks
{
    std::function<auto(Message)->void> send;
    std::function<auto(LogIndex, Term, const std::string &)->void> committed;
    std::function<auto(const std::string &, LogIndex, Term)->void> installSnapshot;
    std::function<auto(bool, Term)->void> leadershipChanged;
    std::function<auto(LogIndex, Term)->void> proposalLost;

    /// Returns the encoded state after the last committed entry or installed snapshot.
    std::function<auto()->std::string> makeSnapshot;

    /// The disk has become blocked, or works again.
    std::function<auto(const DiskStatus &)->void> diskChanged;
};

} // namespace auburnrail

#endif
