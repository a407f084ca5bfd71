#include <control/HeldAnswers.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto HeldAnswers::hold(const HolderId &holder, Revision revision, TimePoint deadline) -> void
{
    const RankedLock lock(this->mutex);
    while (!this->closed && this->reached <= revision && !this->holdersToTell.contains(holder)) {
        if (!this->changed.waitUntil(this->mutex, deadline))
            break;
    }
    this->holdersToTell.erase(holder);
}

auto HeldAnswers::revisionReached(Revision revision) -> void
{
    const RankedLock lock(this->mutex);
    this->reached = std::max(this->reached, revision);
    this->changed.notifyAll();
}

auto HeldAnswers::sharesChanged(const HolderId &holder) -> void
{
    const RankedLock lock(this->mutex);
    this->holdersToTell.insert(holder);
    this->changed.notifyAll();
}

auto HeldAnswers::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    this->changed.notifyAll();
}

} // namespace auburnrail
