#ifndef AUBURNRAIL_ROUTING_CIRCUITBREAKER_H
#define AUBURNRAIL_ROUTING_CIRCUITBREAKER_H

#include <routing/BreakerState.h>

#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// Stops sending requests to an endpoint after consecutive failures and ramps up again by slow
/// start. Not thread-safe: guarded by its owner.
class CircuitBreaker
{
public:
    static constexpr auto OPEN_AFTER_FAILURES = 5;
    static constexpr auto FIRST_OPEN_TIME_MS = std::chrono::milliseconds(500);
    static constexpr auto LONGEST_OPEN_TIME_MS = std::chrono::milliseconds(4000);
    static constexpr auto SLOW_START_MS = std::chrono::milliseconds(2000);
    static constexpr auto SLOW_START_FIRST_FRACTION = 0.1;

    auto recordSuccess(TimePoint now) -> void;
    auto recordFailure(TimePoint now) -> void;

    /// Begins slow start. Also used for an endpoint that was unresponsive without a failed
    /// exchange.
    auto beginSlowStart(TimePoint now) -> void;

    [[nodiscard]] auto state(TimePoint now) const -> BreakerState;

    /// Fraction of its usual load that the endpoint gets at `now`, in (0, 1].
    [[nodiscard]] auto slowStartFraction(TimePoint now) const -> double;

private:
    int failures = 0;
    Duration openTime{};
    std::optional<TimePoint> openedAt;
    std::optional<TimePoint> slowStartAt;
};

} // namespace auburnrail

#endif
