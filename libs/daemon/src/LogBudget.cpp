#include <daemon/LogBudget.h>

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail {

namespace {

auto isFailure(LogLevel level) -> bool
{
    return level == LogLevel::Warning || level == LogLevel::Error;
}

} // namespace

LogBudget::LogBudget(TimePoint now)
    : budget(TokenBucket::full(LINES_PER_SECOND, LINES_AT_ONCE, now))
{
}

auto LogBudget::admit(LogLevel level, TimePoint now) -> std::optional<LogOmissions>
{
    const RankedLock lock(this->mutex);
    const auto failure = isFailure(level);
    const auto withinReserve = !failure && this->budget.level(now) <= FAILURE_RESERVE;
    if (withinReserve || !this->budget.tryTake(now)) {
        ++(failure ? this->omissions.failures : this->omissions.routine);
        return std::nullopt;
    }
    return std::exchange(this->omissions, {});
}

} // namespace auburnrail
