#include <core/DecayingAverage.h>

#include <cmath>

namespace auburnrail {

namespace {

/// Weight of a new measurement.
constexpr auto WEIGHT = 0.2;

auto scaled(Duration length, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(length)
                                                * factor);
}

} // namespace

auto DecayingAverage::add(Duration measured, TimePoint now) -> void
{
    this->average =
        this->measuredAt ? this->average + scaled(measured - this->average, WEIGHT) : measured;
    this->measuredAt = now;
}

auto DecayingAverage::value(TimePoint now) const -> Duration
{
    if (!this->measuredAt || now <= *this->measuredAt)
        return this->average;
    const auto halves = std::chrono::duration<double>(now - *this->measuredAt)
                        / std::chrono::duration<double>(HALF_LIFE_MS);
    return scaled(this->average, std::exp2(-halves));
}

} // namespace auburnrail
