#include <control/HeldResponses.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto HeldResponses::hold(const HolderId &holder, Revision revision, TimePoint deadline) -> void
{
    const RankedLock lock(this->mutex);
    while (!this->closed && this->reached <= revision && !this->holdersToNotify.contains(holder)) {
        if (!this->changed.waitUntil(this->mutex, deadline))
            break;
    }
    this->holdersToNotify.erase(holder);
}

auto HeldResponses::revisionReached(Revision revision) -> void
{
    const RankedLock lock(this->mutex);
    this->reached = std::max(this->reached, revision);
    this->changed.notifyAll();
}

auto HeldResponses::sharesChanged(const HolderId &holder) -> void
{
    const RankedLock lock(this->mutex);
    this->holdersToNotify.insert(holder);
    this->changed.notifyAll();
}

auto HeldResponses::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    this->changed.notifyAll();
}

} // namespace auburnrail
