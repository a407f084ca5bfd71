#include "SimulatedMember.h"

#include <consensus/detail/ReplicatedLog.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <stdexcept>
#include <utility>

namespace auburnrail::testing {

namespace {

/// Election state, snapshot and truncation are each written as one; entries one after the other.
constexpr auto PARTS_BEFORE_ENTRIES = std::size_t(3);
constexpr auto ALL_PARTS = std::numeric_limits<std::size_t>::max();

} // namespace

auto SimulatedMember::receive(const Message &message, TimePoint now) -> void
{
    this->node->receive(message, now);
    this->runDisk(now);
}

auto SimulatedMember::runDisk(TimePoint now) -> void
{
    while (this->node && this->batch) {
        if (this->diskFault == DiskFault::Full)
            this->node->writeRefused(now);
        if (this->diskFault != DiskFault::None || now < this->batchBegan + this->writeTime)
            return;
        this->apply(*std::exchange(this->batch, std::nullopt), ALL_PARTS);
        this->node->persisted(now);
    }
}

auto SimulatedMember::crash(std::size_t parts) -> void
{
    this->node.reset();
    if (auto torn = std::exchange(this->batch, std::nullopt))
        this->apply(*std::move(torn), parts);
}

auto SimulatedMember::apply(PersistBatch written, std::size_t parts) -> void
{
    auto log = detail::ReplicatedLog(this->disk.snapshot, this->disk.firstIndex,
                                     std::move(this->disk.entries));
    if (written.election && parts > 0)
        this->disk.election = *written.election;
    if (written.snapshot && parts > 1)
        log.replaceSnapshot(*written.snapshot, written.keepFrom);
    if (written.truncateFrom && parts > 2)
        log.truncateFrom(std::max(*written.truncateFrom, log.snapshot().index + 1));
    const auto count =
        std::min(written.appended.size(), parts - std::min(parts, PARTS_BEFORE_ENTRIES));
    // As in a log file, the first entry follows the last one, or begins an empty log.
    auto held = std::deque<LogEntry>();
    for (auto index = log.firstIndex(); index <= log.lastIndex(); ++index)
        held.push_back(log.at(index));
    const auto firstIndex = held.empty() && count > 0 ? written.firstAppended : log.firstIndex();
    if (count > 0 && written.firstAppended != firstIndex + held.size())
        throw std::logic_error("appended entries must continue the log on disk");
    held.insert(held.end(), written.appended.begin(),
                written.appended.begin() + static_cast<std::ptrdiff_t>(count));
    this->disk.snapshot = log.snapshot();
    this->disk.firstIndex = firstIndex;
    this->disk.entries = std::move(held);
}

} // namespace auburnrail::testing
