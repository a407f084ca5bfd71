#ifndef AUBURNRAIL_QUOTA_DETAIL_TOKENRESERVE_H
#define AUBURNRAIL_QUOTA_DETAIL_TOKENRESERVE_H

#include <core/TokenBucket.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace auburnrail::detail {

/// The part of one organisation's limits that no holder has a share of, as a token bucket at the
/// ledger. Tokens that were taken count towards the burst until their lifetime has passed, because
/// their holders may still use them.
class TokenReserve
{
public:
    /// Starts without tokens. Until one lifetime has passed, `granted` millitokens count as taken,
    /// for what an earlier leader may have granted.
    auto begin(std::int64_t granted, TimePoint now) -> void;

    /// Starts without tokens at an earlier time, since when nothing was granted.
    auto beginUnused(TimePoint since) -> void;

    /// Drops the tokens; what is in flight still counts. For when shares that were not counted may
    /// have been used until `now`.
    auto dropTokens(TimePoint now) -> void;

    /// Gives up the tokens in that part of the reserve's burst which becomes a share's; both in
    /// millitokens. To be called before the reserve's limits are lowered.
    [[nodiscard]] auto handOver(std::int64_t burstOfShare, TimePoint now) -> std::int64_t;

    /// Sets what is left of the limits: tokens per second and tokens. To be called before take()
    /// and whenever less is left; `lifetime` is that of tokens taken.
    auto setLimits(double newRate, double newBurst, Duration lifetime, TimePoint now) -> void;

    /// Takes up to `wanted` tokens; returns how many.
    auto take(std::uint32_t wanted, TimePoint now) -> std::uint32_t;

    /// Time until a token is there if none is taken meanwhile; nothing when the limits yield none.
    [[nodiscard]] auto timeToToken(TimePoint now) const -> std::optional<Duration>;

    /// Millitokens that holders may still use.
    [[nodiscard]] auto inFlight() const -> std::int64_t;

    /// Expected time between two tokens; zero when there are none.
    [[nodiscard]] auto interval() const -> Duration;

private:
    auto dropExpired(Duration lifetime, TimePoint now) -> void;

    /// Leaves room in the bucket only for what is not in flight.
    auto limitBucket(TimePoint now) -> void;

    TokenBucket bucket{0, 0, TimePoint()};
    double rate = 0;
    double burst = 0;                                     ///< Including tokens in flight.
    std::deque<std::pair<TimePoint, std::int64_t>> taken; ///< Time and millitokens.
    std::int64_t takenSum = 0;                            ///< Of `taken`.
};

} // namespace auburnrail::detail

#endif
