#ifndef AUBURNRAIL_ROUTING_CONCURRENCYLIMIT_H
#define AUBURNRAIL_ROUTING_CONCURRENCYLIMIT_H

#include <core/Time.h>

#include <cstdint>

namespace auburnrail {

/// Limit of exchanges in flight to one endpoint: additive increase while the limit is in use and
/// answers are timely, multiplicative decrease on overload. Thread rule: guarded by its owner.
class ConcurrencyLimit
{
public:
    static constexpr auto INITIAL_LIMIT = 20.0;
    static constexpr auto SMALLEST_LIMIT = 1.0;
    static constexpr auto LARGEST_LIMIT = 512.0;
    static constexpr auto DECREASE_FACTOR = 0.7;
    /// One decrease covers every failure of the same burst.
    static constexpr auto DECREASE_INTERVAL_MS = std::chrono::milliseconds(100);

    auto recordAnswer(std::uint32_t inFlight) -> void;
    auto recordOverload(TimePoint now) -> void;

    /// Exchanges that may be in flight.
    [[nodiscard]] auto value() const -> std::uint32_t;

private:
    double limit = INITIAL_LIMIT;
    TimePoint lastDecrease;
};

} // namespace auburnrail

#endif
