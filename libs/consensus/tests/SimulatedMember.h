#ifndef AUBURNRAIL_CONSENSUS_TESTS_SIMULATEDMEMBER_H
#define AUBURNRAIL_CONSENSUS_TESTS_SIMULATEDMEMBER_H

#include <consensus/ConsensusNode.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnrail::testing {

/// How a simulated disk behaves.
enum class DiskFault : std::uint8_t {
    None,
    Full,    ///< Refuses every write.
    Stalled, ///< Completes no write.
};

/// One member of a simulated cluster: its disk, its process (if it is running) and its state
/// machine, which concatenates the payloads.
struct SimulatedMember
{
    MemberId id;
    DurableState disk;
    DiskFault diskFault = DiskFault::None;
    Duration writeTime{};              ///< How long the disk takes for a batch.
    std::optional<PersistBatch> batch; ///< Batch under way.
    TimePoint batchBegan{};
    std::unique_ptr<ConsensusNode> node;
    std::string state;
    LogIndex deliveredIndex = 0;
    LogIndex installedSnapshots = 0;
    std::optional<LogIndex> snapshotDue;
    std::vector<LogIndex> lostProposals; ///< Indexes passed to proposalLost.
    bool announcedLeader = false;

    /// Handles a message, and the writes that it causes if the disk takes no time.
    auto receive(const Message &message, TimePoint now) -> void;

    /// Lets the disk work until `now`: completes or refuses the batch under way.
    auto runDisk(TimePoint now) -> void;

    /// Ends the process. Of the batch under way, the disk has the first `parts` changes.
    auto crash(std::size_t parts) -> void;

private:
    /// Applies the first `parts` changes of the batch to the disk, in the order of its fields.
    auto apply(PersistBatch written, std::size_t parts) -> void;
};

} // namespace auburnrail::testing

#endif
