#include <routing/CircuitBreaker.h>

#include <algorithm>

namespace auburnrail {

auto CircuitBreaker::recordSuccess(TimePoint now) -> void
{
    if (this->openedAt)
        this->beginSlowStart(now);
    this->failures = 0;
    this->openTime = Duration(0);
    this->openedAt.reset();
}

auto CircuitBreaker::recordFailure(TimePoint now) -> void
{
    ++this->failures;
    const auto current = this->state(now);
    if (current == BreakerState::Open)
        return;
    if (current == BreakerState::HalfOpen || this->failures >= OPEN_AFTER_FAILURES) {
        this->openTime =
            std::clamp<Duration>(this->openTime * 2, FIRST_OPEN_TIME_MS, LONGEST_OPEN_TIME_MS);
        this->openedAt = now;
    }
}

auto CircuitBreaker::beginSlowStart(TimePoint now) -> void
{
    this->slowStartAt = now;
}

auto CircuitBreaker::state(TimePoint now) const -> BreakerState
{
    if (!this->openedAt)
        return BreakerState::Closed;
    return now - *this->openedAt < this->openTime ? BreakerState::Open : BreakerState::HalfOpen;
}

auto CircuitBreaker::slowStartFraction(TimePoint now) const -> double
{
    if (!this->slowStartAt)
        return 1.0;
    const auto passed = std::chrono::duration<double>(now - *this->slowStartAt)
                        / std::chrono::duration<double>(SLOW_START_MS);
    return std::clamp(passed, SLOW_START_FIRST_FRACTION, 1.0);
}

} // namespace auburnrail
