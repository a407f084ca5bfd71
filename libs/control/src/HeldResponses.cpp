#include <control/HeldResponses.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto HeldResponses::hold(const HolderId &holder, Revision revision, TimePoint deadline) -> void
{
    auto wait = Wait();
    wait.revision = revision;
    const RankedLock lock(this->mutex);
    const auto row = this->waits.emplace(holder, &wait);
    while (!this->closed && this->reached <= revision && !this->holdersToNotify.contains(holder)) {
        if (!wait.changed.waitUntil(this->mutex, deadline))
            break;
        ++this->wakeUpCount;
    }
    this->waits.erase(row);
    this->holdersToNotify.erase(holder);
}

auto HeldResponses::revisionReached(Revision revision) -> void
{
    const RankedLock lock(this->mutex);
    this->reached = std::max(this->reached, revision);
    for (const auto &[holder, wait] : this->waits) {
        if (wait->revision < this->reached)
            wait->changed.notifyAll();
    }
}

auto HeldResponses::sharesChanged(const HolderId &holder) -> void
{
    const RankedLock lock(this->mutex);
    if (!this->holdersToNotify.insert(holder).second)
        return;
    const auto [first, last] = this->waits.equal_range(holder);
    for (auto row = first; row != last; ++row)
        row->second->changed.notifyAll();
}

auto HeldResponses::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    for (const auto &[holder, wait] : this->waits)
        wait->changed.notifyAll();
}

auto HeldResponses::size() -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->waits.size();
}

auto HeldResponses::wakeUps() -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return this->wakeUpCount;
}

} // namespace auburnrail
