#ifndef AUBURNRAIL_ROUTING_CONCURRENCYLIMIT_H
#define AUBURNRAIL_ROUTING_CONCURRENCYLIMIT_H

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// Adaptive limit of exchanges in flight to one endpoint: additive increase while the limit is in
/// use and responses are timely, multiplicative decrease on overload (AIMD). Not thread-safe:
/// guarded by its owner.
class ConcurrencyLimit
{
public:
    static constexpr auto INITIAL_LIMIT = 20.0;
    static constexpr auto SMALLEST_LIMIT = 1.0;
    static constexpr auto LARGEST_LIMIT = 512.0;
    static constexpr auto DECREASE_FACTOR = 0.7;
    /// Minimum time between decreases, so that a burst of failures causes only one.
    static constexpr auto DECREASE_INTERVAL_MS = std::chrono::milliseconds(100);

    auto recordResponse(std::uint32_t inFlight) -> void;
    auto recordOverload(TimePoint now) -> void;

    /// Maximum number of exchanges in flight.
    [[nodiscard]] auto value() const -> std::uint32_t;

private:
    double limit = INITIAL_LIMIT;
    TimePoint lastDecrease;
};

} // namespace auburnrail

#endif
