#ifndef AUBURNRAIL_ROUTING_CIRCUITBREAKER_H
#define AUBURNRAIL_ROUTING_CIRCUITBREAKER_H

#include <routing/BreakerState.h>

#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// Stops work to an endpoint after consecutive failures and brings it back by slow start.
/// Thread rule: guarded by its owner.
class CircuitBreaker
{
public:
    static constexpr auto OPEN_AFTER_FAILURES = 5;
    static constexpr auto FIRST_OPEN_TIME_MS = std::chrono::milliseconds(500);
    static constexpr auto LONGEST_OPEN_TIME_MS = std::chrono::milliseconds(4000);
    static constexpr auto SLOW_START_MS = std::chrono::milliseconds(2000);
    static constexpr auto SLOW_START_FIRST_SHARE = 0.1;

    auto recordSuccess(TimePoint now) -> void;
    auto recordFailure(TimePoint now) -> void;

    /// Begins slow start, also for an endpoint that was silent without a failed exchange.
    auto beginSlowStart(TimePoint now) -> void;

    [[nodiscard]] auto state(TimePoint now) const -> BreakerState;

    /// Share of its usual work that the endpoint gets at `now`, in (0, 1].
    [[nodiscard]] auto slowStartShare(TimePoint now) const -> double;

private:
    int failures = 0;
    Duration openTime{};
    std::optional<TimePoint> openedAt;
    std::optional<TimePoint> slowStartAt;
};

} // namespace auburnrail

#endif
