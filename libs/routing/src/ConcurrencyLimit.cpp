#include <routing/ConcurrencyLimit.h>

#include <algorithm>

namespace auburnrail {

auto ConcurrencyLimit::recordResponse(std::uint32_t inFlight) -> void
{
    // Unless the limit is at least half used, a response does not show that the endpoint can take
    // more.
    if (inFlight * 2.0 >= this->limit)
        this->limit = std::min(this->limit + 1.0 / this->limit, LARGEST_LIMIT);
}

auto ConcurrencyLimit::recordOverload(TimePoint now) -> void
{
    if (this->lastDecrease != TimePoint() && now - this->lastDecrease < DECREASE_INTERVAL_MS)
        return;
    this->limit = std::max(this->limit * DECREASE_FACTOR, SMALLEST_LIMIT);
    this->lastDecrease = now;
}

auto ConcurrencyLimit::value() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(this->limit);
}

} // namespace auburnrail
