#ifndef AUBURNRAIL_CONSENSUS_TESTS_SIMULATEDMEMBER_H
#define AUBURNRAIL_CONSENSUS_TESTS_SIMULATEDMEMBER_H

#include <consensus/ConsensusNode.h>

#include <absl/status/status.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnrail::testing {

/// One member of a simulated cluster: its disk, its process (if it is running) and its state
/// machine, which concatenates the payloads.
struct SimulatedMember
{
    MemberId id;
    DurableState disk;
    absl::Status diskFault; ///< Returned by persist when it is not OK.
    std::unique_ptr<ConsensusNode> node;
    std::string state;
    LogIndex deliveredIndex = 0;
    LogIndex installedSnapshots = 0;
    std::optional<LogIndex> snapshotDue;
    std::vector<LogIndex> lostProposals; ///< Indexes passed to proposalLost.
    bool announcedLeader = false;

    /// Applies a batch to the simulated disk, or returns diskFault.
    auto persist(const PersistBatch &batch) -> absl::Status;
};

} // namespace auburnrail::testing

#endif
