#include "LinkState.h"

#include <core/RankedLock.h>

namespace auburnrail::detail {

LinkState::LinkState(Duration oneWayDelay)
    : delay(oneWayDelay)
{
}

auto LinkState::waitToDeliver(TimePoint sentAt) -> bool
{
    const RankedLock lock(this->mutex);
    while (!this->closed) {
        const auto due = sentAt + this->delay;
        if (this->isCut)
            this->changed.wait(this->mutex);
        else if (std::chrono::steady_clock::now() >= due)
            return true;
        else
            this->changed.waitUntil(this->mutex, due);
    }
    return false;
}

auto LinkState::setCut(bool value) -> void
{
    const RankedLock lock(this->mutex);
    this->isCut = value;
    this->changed.notifyAll();
}

auto LinkState::setDelay(Duration oneWayDelay) -> void
{
    const RankedLock lock(this->mutex);
    this->delay = oneWayDelay;
    this->changed.notifyAll();
}

auto LinkState::close() -> void
{
    const RankedLock lock(this->mutex);
    this->closed = true;
    this->changed.notifyAll();
}

auto LinkState::isClosed() -> bool
{
    const RankedLock lock(this->mutex);
    return this->closed;
}

} // namespace auburnrail::detail
