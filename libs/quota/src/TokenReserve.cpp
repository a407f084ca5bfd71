#include <quota/detail/TokenReserve.h>

#include <algorithm>

namespace auburnrail::detail {

namespace {

constexpr auto MILLITOKENS_PER_TOKEN = std::int64_t(1000);

} // namespace

auto TokenReserve::begin(std::int64_t granted, TimePoint now) -> void
{
    *this = TokenReserve();
    this->bucket = TokenBucket(0, 0, now);
    this->taken.emplace_back(now, granted);
    this->takenSum = granted;
}

auto TokenReserve::beginUnused(TimePoint since) -> void
{
    *this = TokenReserve();
    this->bucket = TokenBucket(0, 0, since);
}

auto TokenReserve::dropTokens(TimePoint now) -> void
{
    this->bucket.clear(now);
}

auto TokenReserve::handOver(std::int64_t burstOfShare, TimePoint now) -> std::int64_t
{
    const auto free = this->burst * MILLITOKENS_PER_TOKEN - static_cast<double>(this->takenSum);
    if (burstOfShare <= 0 || free <= 0)
        return 0;
    const auto part = std::min(1.0, static_cast<double>(burstOfShare) / free);
    const auto handed =
        static_cast<std::int64_t>(this->bucket.level(now) * part * MILLITOKENS_PER_TOKEN);
    this->bucket.remove(static_cast<double>(handed) / MILLITOKENS_PER_TOKEN, now);
    return handed;
}

auto TokenReserve::setLimits(double newRate, double newBurst, Duration lifetime, TimePoint now)
    -> void
{
    this->dropExpired(lifetime, now);
    this->rate = std::max(0.0, newRate);
    this->burst = newBurst;
    this->limitBucket(now);
}

auto TokenReserve::limitBucket(TimePoint now) -> void
{
    const auto free = this->burst - static_cast<double>(this->takenSum) / MILLITOKENS_PER_TOKEN;
    this->bucket.setLimits(this->rate, std::max(0.0, free), now);
}

auto TokenReserve::take(std::uint32_t wanted, TimePoint now) -> std::uint32_t
{
    auto count = std::uint32_t(0);
    while (count < wanted && this->bucket.tryTake(now))
        ++count;
    if (count > 0) {
        this->taken.emplace_back(now, count * MILLITOKENS_PER_TOKEN);
        this->takenSum += count * MILLITOKENS_PER_TOKEN;
        this->limitBucket(now);
    }
    return count;
}

auto TokenReserve::timeToToken(TimePoint now) const -> std::optional<Duration>
{
    if (this->rate <= 0)
        return std::nullopt;
    const auto missing = 1.0 - std::min(1.0, this->bucket.level(now));
    return std::chrono::duration_cast<Duration>(this->interval() * missing);
}

auto TokenReserve::inFlight() const -> std::int64_t
{
    return this->takenSum;
}

auto TokenReserve::interval() const -> Duration
{
    return this->rate > 0 ? std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(1.0 / this->rate))
                          : Duration();
}

auto TokenReserve::dropExpired(Duration lifetime, TimePoint now) -> void
{
    while (!this->taken.empty() && this->taken.front().first + lifetime <= now) {
        this->takenSum -= this->taken.front().second;
        this->taken.pop_front();
    }
}

} // namespace auburnrail::detail
