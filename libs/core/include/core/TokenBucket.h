#ifndef AUBURNRAIL_CORE_TOKENBUCKET_H
#define AUBURNRAIL_CORE_TOKENBUCKET_H

#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// Token bucket that starts empty. In an interval of any length it gives at most
/// burst + rate × length tokens. Times that go backwards add nothing.
/// Thread rule: guarded by its owner.
class TokenBucket
{
public:
    /// `rate` in tokens per second, `burst` in tokens.
    TokenBucket(double rate, double burst, TimePoint now);

    /// A bucket that is full at `now`. `rate` has to be more than 0.
    static auto full(double rate, double burst, TimePoint now) -> TokenBucket;

    /// Changes the limits. Never adds tokens: a larger burst is room that fills at the rate, a
    /// smaller one drops what exceeds it.
    auto setLimits(double newRate, double newBurst, TimePoint now) -> void;

    /// Adds tokens that another bucket has given up, as far as there is room.
    auto add(double count, TimePoint now) -> void;

    /// Gives up `count` tokens, at most all.
    auto remove(double count, TimePoint now) -> void;

    /// Drops all tokens.
    auto clear(TimePoint now) -> void;

    /// Takes one token if there is one.
    auto tryTake(TimePoint now) -> bool;

    /// Time until a token is there if none is taken meanwhile: zero when there is one now, nothing
    /// when the limits never yield one.
    [[nodiscard]] auto timeToToken(TimePoint now) const -> std::optional<Duration>;

    /// Tokens at `now`.
    [[nodiscard]] auto level(TimePoint now) const -> double;

private:
    auto refill(TimePoint now) -> void;

    double rate;
    double burst;
    double tokens = 0;
    TimePoint refilledAt;
};

} // namespace auburnrail

#endif
