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

/// One member of a simulated cluster: its disk, its process (if it runs) and its state machine,
/// which concatenates the payloads.
struct SimulatedMember
{
    MemberId id;
    DurableState disk;
    absl::Status diskFault; ///< Returned by persist when it is not OK.
    std::unique_ptr<ConsensusNode> node;
    std::string state;
    LogIndex handedOver = 0;
    LogIndex installedSnapshots = 0;
    std::optional<LogIndex> snapshotDue;
    std::vector<LogIndex> lost; ///< From proposalLost.
    bool announcedLeader = false;

    /// Applies a batch to the disk as a daemon does.
    auto persist(const PersistBatch &batch) -> absl::Status;
};

} // namespace auburnrail::testing

#endif
