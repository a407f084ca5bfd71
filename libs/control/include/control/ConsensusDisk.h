#ifndef AUBURNRAIL_CONTROL_CONSENSUSDISK_H
#define AUBURNRAIL_CONTROL_CONSENSUSDISK_H

#include <control/DurableStore.h>

#include <consensus/DurableState.h>
#include <consensus/MemberId.h>
#include <consensus/PersistBatch.h>

#include <storage/DataDirectory.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Stores the durable state of a ConsensusNode in a data directory. Thread rule: one caller at a
/// time.
class ConsensusDisk
{
public:
    /// Formats an empty directory for an initial member (`--init`). `members` are all initial
    /// members, `member` included. The call may be repeated after a crash until it has succeeded
    /// once; then it returns `kAlreadyExists`.
    [[nodiscard]] static auto initialise(const std::string &path, const std::string &cluster,
                                         const MemberName &member,
                                         const std::vector<MemberName> &members) -> absl::Status;

    /// Opens the directory; an empty one is formatted for a new incarnation, which joins as
    /// learner. `newIncarnation` must be random and not 0. Errors are those of DataDirectory::open.
    [[nodiscard]] static auto open(const std::string &path, const std::string &cluster,
                                   const MemberName &member, std::uint64_t newIncarnation)
        -> absl::StatusOr<ConsensusDisk>;

    [[nodiscard]] auto self() const -> MemberId;

    /// Reads the whole durable state. `kDataLoss` when a record can't be decoded.
    [[nodiscard]] auto restore() const -> absl::StatusOr<DurableState>;

    /// Writes and syncs the batch. After an error, the same batch has to be written again before
    /// any other.
    [[nodiscard]] auto persist(const PersistBatch &batch) -> absl::Status;

    /// Hooks that own `disk`.
    [[nodiscard]] static auto toStore(ConsensusDisk disk) -> DurableStore;

private:
    explicit ConsensusDisk(DataDirectory opened);

    DataDirectory directory;
};

} // namespace auburnrail

#endif
