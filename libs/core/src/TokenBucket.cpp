#include <core/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace auburnrail {

namespace {

// Waiting exactly `timeToToken` must be enough although the refill is rounded.
constexpr auto ROUNDING_TOKENS = 1e-9;

} // namespace

TokenBucket::TokenBucket(double rate, double burst, TimePoint now)
    : rate(rate)
    , burst(burst)
    , refilledAt(now)
{
}

auto TokenBucket::full(double rate, double burst, TimePoint now) -> TokenBucket
{
    auto bucket = TokenBucket(rate, burst, now);
    bucket.tokens = burst;
    return bucket;
}

auto TokenBucket::setLimits(double newRate, double newBurst, TimePoint now) -> void
{
    this->refill(now);
    this->rate = newRate;
    this->burst = newBurst;
    this->tokens = std::min(this->tokens, newBurst);
}

auto TokenBucket::add(double count, TimePoint now) -> void
{
    this->refill(now);
    this->tokens = std::min(this->burst, this->tokens + count);
}

auto TokenBucket::remove(double count, TimePoint now) -> void
{
    this->refill(now);
    this->tokens = std::max(0.0, this->tokens - count);
}

auto TokenBucket::clear(TimePoint now) -> void
{
    this->refill(now);
    this->tokens = 0;
}

auto TokenBucket::tryTake(TimePoint now) -> bool
{
    this->refill(now);
    if (this->tokens < 1.0 - ROUNDING_TOKENS)
        return false;
    this->tokens = std::max(0.0, this->tokens - 1.0);
    return true;
}

auto TokenBucket::timeToToken(TimePoint now) const -> std::optional<Duration>
{
    const auto missing = 1.0 - this->level(now);
    if (missing <= ROUNDING_TOKENS)
        return Duration::zero();
    if (this->burst < 1.0 || this->rate <= 0)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(std::ceil(missing / this->rate * 1e9)));
}

auto TokenBucket::level(TimePoint now) const -> double
{
    if (now <= this->refilledAt)
        return this->tokens;
    const auto seconds = std::chrono::duration<double>(now - this->refilledAt).count();
    return std::min(this->burst, this->tokens + seconds * this->rate);
}

auto TokenBucket::refill(TimePoint now) -> void
{
    this->tokens = this->level(now);
    this->refilledAt = std::max(this->refilledAt, now);
}

} // namespace auburnrail
