#include <control/HeldResponses.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

HeldResponses::HeldResponses(Executor responseExecutor)
    : executor(std::move(responseExecutor))
{
}

auto HeldResponses::hold(const HolderId &holder, Revision revision, TimePoint deadline,
                         Task release) -> void
{
    {
        const RankedLock lock(this->mutex);
        const auto now = this->executor.now();
        const auto isChanged = this->holdersToNotify.erase(holder) > 0;
        const auto isOutdated = revision < this->reached;
        const auto mayWait = !isOutdated || now < this->nextRevisionRelease;
        if (!this->closed && mayWait && !isChanged && deadline > now) {
            this->isAnyOutdated = this->isAnyOutdated || isOutdated;
            const auto row =
                this->waits.emplace(holder, Wait{revision, deadline, std::move(release)});
            this->deadlines.insert(row);
            return;
        }
    }
    release();
}

auto HeldResponses::revisionReached(Revision revision, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    this->isAnyOutdated = this->isAnyOutdated || revision > this->reached;
    this->reached = std::max(this->reached, revision);
    this->releaseOutdated(now);
}

auto HeldResponses::releaseOutdated(TimePoint now) -> void
{
    if (!this->isAnyOutdated || now < this->nextRevisionRelease)
        return;
    this->isAnyOutdated = false;
    const auto before = this->waits.size();
    this->releaseEarly(
        [reached = this->reached](const Wait &wait) { return wait.revision < reached; });
    const auto count = static_cast<std::int64_t>(before - this->waits.size());
    this->nextRevisionRelease = now + count * REVISION_PAUSE_PER_RESPONSE_US;
}

auto HeldResponses::sharesChanged(const HolderId &holder) -> void
{
    const RankedLock lock(this->mutex);
    const auto [first, last] = this->waits.equal_range(holder);
    if (first == last) {
        this->holdersToNotify.insert(holder);
        return;
    }
    for (auto row = first; row != last;) {
        ++this->earlyReleaseCount;
        this->release(row++);
    }
    this->scheduleReleased();
}

auto HeldResponses::releaseAll(TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    if (this->allReleasedAt && now < *this->allReleasedAt + RELEASE_ALL_INTERVAL_MS)
        return;
    this->allReleasedAt = now;
    this->releaseEarly([](const Wait &) { return true; });
}

auto HeldResponses::expire(TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    while (!this->deadlines.empty() && (*this->deadlines.begin())->second.deadline <= now)
        this->release(*this->deadlines.begin());
    this->releaseOutdated(now);
    this->scheduleReleased();
}

auto HeldResponses::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    this->releaseEarly([](const Wait &) { return true; });
}

auto HeldResponses::size() -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->waits.size();
}

auto HeldResponses::earlyReleases() -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return this->earlyReleaseCount;
}

auto HeldResponses::release(Waits::iterator row) -> void
{
    const auto [first, last] = this->deadlines.equal_range(row);
    this->deadlines.erase(std::find(first, last, row));
    this->released.push_back(std::move(row->second.release));
    this->waits.erase(row);
}

auto HeldResponses::releaseEarly(const std::function<auto(const Wait &)->bool> &isDue) -> void
{
    for (auto row = this->waits.begin(); row != this->waits.end();) {
        const auto current = row++;
        if (!isDue(current->second))
            continue;
        ++this->earlyReleaseCount;
        this->release(current);
    }
    this->scheduleReleased();
}

auto HeldResponses::scheduleReleased() -> void
{
    if (this->released.empty() || this->isScheduled)
        return;
    this->isScheduled = true;
    this->executor.post([this] { this->runReleased(); });
}

auto HeldResponses::runReleased() -> void
{
    auto tasks = std::vector<Task>();
    {
        const RankedLock lock(this->mutex);
        this->isScheduled = false;
        tasks.swap(this->released);
    }
    for (const auto &task : tasks)
        task();
}

} // namespace auburnrail
