#ifndef AUBURNRAIL_CONSENSUS_DETAIL_WRITEPROGRESS_H
#define AUBURNRAIL_CONSENSUS_DETAIL_WRITEPROGRESS_H

#include <consensus/ElectionState.h>
#include <consensus/LogIndex.h>
#include <consensus/PersistBatch.h>
#include <consensus/Snapshot.h>
#include <consensus/detail/ReplicatedLog.h>

#include <core/Time.h>

#include <cstdint>
#include <optional>

namespace auburnrail::detail {

/// Tracks which part of a member's state is durable, and collects the changes that are not handed
/// to the disk yet. One batch is under way at a time; changes made meanwhile form the next one.
/// Batches are numbered from 1 in the order in which they are written.
/// Not thread-safe: the owner guards it.
class WriteProgress
{
public:
    /// `restoredIndex` is the last one of the restored log, all of which is durable.
    explicit WriteProgress(LogIndex restoredIndex);

    // Changes of the state in memory.
    auto electionChanged(const ElectionState &election) -> void;
    auto entryAppended(LogIndex index) -> void;
    auto truncatedFrom(LogIndex index) -> void;

    /// `log` already contains the snapshot. `matchingThrough` is the last index up to which the
    /// previous log is known to equal the new one.
    auto snapshotReplaced(const Snapshot &snapshot, LogIndex keepFrom, LogIndex matchingThrough,
                          const ReplicatedLog &log) -> void;

    /// The next batch to write, which is under way from now on; empty if there is no change or
    /// another batch is under way.
    [[nodiscard]] auto beginWrite(const ReplicatedLog &log, TimePoint now)
        -> std::optional<PersistBatch>;

    /// The batch under way is durable.
    auto completeWrite() -> void;

    /// The disk refused the batch under way, which will be written again.
    auto refuseWrite() -> void;

    /// Entries up to this index are durable, as they are in the log in memory.
    [[nodiscard]] auto durableIndex() const -> LogIndex;

    [[nodiscard]] auto isElectionDurable() const -> bool;

    /// Number of the batch that makes all changes so far durable.
    [[nodiscard]] auto currentBatch() const -> std::uint64_t;
    [[nodiscard]] auto isDurable(std::uint64_t batch) const -> bool;

    /// The durable index after the batch under way, if there is one.
    [[nodiscard]] auto lastIndexUnderWay() const -> LogIndex;

    /// Whether the disk refused the batch under way or has not completed it within `limit`.
    [[nodiscard]] auto isBlocked(Duration limit, TimePoint now) const -> bool;

    /// Time since the batch under way was handed over; 0 if there is none.
    [[nodiscard]] auto age(TimePoint now) const -> Duration;

private:
    /// Entries after `index` in memory are not those that the disk has or is about to get.
    auto limitDurable(LogIndex index) -> void;
    [[nodiscard]] auto hasChanges() const -> bool;

    PersistBatch changes;        ///< Changes for the next batch; entries are added from the log.
    LogIndex lastIndex;          ///< Of the log in memory.
    LogIndex handedOver;         ///< The next batch's entries begin after this index.
    LogIndex underWay;           ///< Last index that is durable after the batch under way.
    LogIndex durable;            ///< Last durable index.
    std::uint64_t completed = 0; ///< Number of the last durable batch.

    std::optional<TimePoint> beganAt; ///< When the batch under way was handed over.
    bool electionUnderWay = false;
    bool refused = false;
};

} // namespace auburnrail::detail

#endif
