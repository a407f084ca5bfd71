#include <core/RankedCondition.h>

namespace auburnrail {

auto RankedCondition::wait(RankedMutex &mutex) -> void
{
    this->condition.wait(mutex);
}

auto RankedCondition::waitUntil(RankedMutex &mutex, TimePoint deadline) -> bool
{
    return this->condition.wait_until(mutex, deadline) == std::cv_status::no_timeout;
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
