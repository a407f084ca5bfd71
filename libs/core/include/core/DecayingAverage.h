#ifndef AUBURNRAIL_CORE_DECAYINGAVERAGE_H
#define AUBURNRAIL_CORE_DECAYINGAVERAGE_H

#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// Moving average of durations that falls while nothing is measured, so that what was slow once is
/// tried again. Not thread-safe.
class DecayingAverage
{
public:
    /// Without measurements the average halves in this time.
    static constexpr auto HALF_LIFE_MS = std::chrono::milliseconds(1000);

    auto add(Duration measured, TimePoint now) -> void;

    /// Zero before the first measurement.
    [[nodiscard]] auto value(TimePoint now) const -> Duration;

private:
    Duration average{};
    std::optional<TimePoint> measuredAt;
};

} // namespace auburnrail

#endif
