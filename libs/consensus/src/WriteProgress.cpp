#include <consensus/detail/WriteProgress.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail::detail {

WriteProgress::WriteProgress(LogIndex restoredIndex)
    : lastIndex(restoredIndex)
    , handedOver(restoredIndex)
    , underWay(restoredIndex)
    , durable(restoredIndex)
{
}

auto WriteProgress::electionChanged(const ElectionState &election) -> void
{
    this->changes.election = election;
}

auto WriteProgress::entryAppended(LogIndex index) -> void
{
    this->lastIndex = index;
}

auto WriteProgress::truncatedFrom(LogIndex index) -> void
{
    // Only what the disk has or is about to get has to be removed from it.
    if (index <= this->handedOver)
        this->changes.truncateFrom = std::min(this->changes.truncateFrom.value_or(index), index);
    this->lastIndex = index - 1;
    this->handedOver = std::min(this->handedOver, this->lastIndex);
    this->limitDurable(this->lastIndex);
}

auto WriteProgress::snapshotReplaced(const Snapshot &snapshot, LogIndex keepFrom,
                                     LogIndex matchingThrough, const ReplicatedLog &log) -> void
{
    this->changes.snapshot = snapshot;
    this->changes.keepFrom = keepFrom;
    this->lastIndex = log.lastIndex();
    this->limitDurable(matchingThrough);
    // The disk drops a log that ends before the snapshot, and later entries follow the snapshot
    // there. Entries that it covers must not: after a crash, the log would end before it again.
    const auto kept = std::min(this->handedOver, matchingThrough);
    this->handedOver = std::max(kept, snapshot.index);
}

auto WriteProgress::beginWrite(const ReplicatedLog &log, TimePoint now)
    -> std::optional<PersistBatch>
{
    if (this->beganAt || !this->hasChanges())
        return std::nullopt;
    auto batch = std::exchange(this->changes, PersistBatch());
    batch.firstAppended = this->handedOver + 1;
    for (auto index = batch.firstAppended; index <= this->lastIndex; ++index)
        batch.appended.push_back(log.at(index));
    this->handedOver = this->lastIndex;
    this->underWay = this->lastIndex;
    this->electionUnderWay = batch.election.has_value();
    this->beganAt = now;
    return batch;
}

auto WriteProgress::completeWrite() -> void
{
    assert(this->beganAt && "a batch must be under way");
    this->durable = this->underWay;
    this->electionUnderWay = false;
    this->refused = false;
    this->beganAt.reset();
    ++this->completed;
}

auto WriteProgress::refuseWrite() -> void
{
    this->refused = true;
}

auto WriteProgress::durableIndex() const -> LogIndex
{
    return this->durable;
}

auto WriteProgress::isElectionDurable() const -> bool
{
    return !this->changes.election && !this->electionUnderWay;
}

auto WriteProgress::currentBatch() const -> std::uint64_t
{
    return this->completed + (this->beganAt ? 1 : 0) + (this->hasChanges() ? 1 : 0);
}

auto WriteProgress::isDurable(std::uint64_t batch) const -> bool
{
    return batch <= this->completed;
}

auto WriteProgress::lastIndexUnderWay() const -> LogIndex
{
    return this->underWay;
}

auto WriteProgress::isBlocked(Duration limit, TimePoint now) const -> bool
{
    return this->beganAt && (this->refused || *this->beganAt + limit <= now);
}

auto WriteProgress::age(TimePoint now) const -> Duration
{
    return this->beganAt ? now - *this->beganAt : Duration::zero();
}

auto WriteProgress::limitDurable(LogIndex index) -> void
{
    this->underWay = std::min(this->underWay, index);
    this->durable = std::min(this->durable, index);
}

auto WriteProgress::hasChanges() const -> bool
{
    return this->changes.election || this->changes.snapshot || this->changes.truncateFrom
           || this->handedOver < this->lastIndex;
}

} // namespace auburnrail::detail
