#include <core/RankedCondition.h>

#include <core/MonotonicClock.h>

namespace auburnrail {

auto RankedCondition::wait(RankedMutex &mutex) -> void
{
    this->condition.wait(mutex);
}

auto RankedCondition::waitUntil(RankedMutex &mutex, TimePoint deadline) -> bool
{
    // The condition knows the steady clock only, which may lag behind monotonicNow().
    const auto left = deadline - monotonicNow();
    return this->condition.wait_for(mutex, left) == std::cv_status::no_timeout;
}

auto RankedCondition::notifyOne() -> void
{
    this->condition.notify_one();
}

auto RankedCondition::notifyAll() -> void
{
    this->condition.notify_all();
}

} // namespace auburnrail
