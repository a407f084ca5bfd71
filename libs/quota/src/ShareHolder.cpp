#include <quota/ShareHolder.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto TOKENS_PER_MILLITOKEN = 1e-3;

// An organisation stays in the reports for this long after its last request. A caller that returns
// later gets its first token from the ledger.
constexpr auto ACTIVE_DURATION = std::chrono::seconds(2);

// Time constant of the moving average of arrivals: short compared with the time in which load moves
// between entries, long compared with the interval between reports.
constexpr auto AVERAGE_TIME_CONSTANT_S = 0.5;

// A new rate is reported only when it differs by more than this fraction. Otherwise noise would
// change every share in every grant.
constexpr auto REPORT_STEP_FRACTION = 0.125;

// An organisation that runs out of tokens is reported early when its average arrival rate exceeds
// the reported rate by the step and this many arrivals, but no earlier than this interval after the
// last report.
constexpr auto EARLY_REPORT_ARRIVALS = 2.0;
constexpr auto EARLY_REPORT_INTERVAL = std::chrono::milliseconds(50);

// An average arrival rate below this is reported as zero.
constexpr auto IDLE_RATE_PER_S = 0.01;

/// Factor by which the moving average decays over `elapsed`.
auto decayFactor(Duration elapsed) -> double
{
    return std::exp(-std::chrono::duration<double>(elapsed).count() / AVERAGE_TIME_CONSTANT_S);
}

auto reportedRate(double average, double previous) -> double
{
    if (average < IDLE_RATE_PER_S)
        return 0;
    if (std::abs(average - previous) <= REPORT_STEP_FRACTION * previous)
        return previous;
    return average;
}

} // namespace

ShareHolder::ShareHolder(HolderId holder, std::string zone, QuotaTiming timing,
                         ShareHolderHooks hooks)
    : holder(std::move(holder))
    , zone(std::move(zone))
    , timing(timing)
    , hooks(std::move(hooks))
{
}

auto ShareHolder::tryAcquire(std::string_view organisation, TimePoint now) -> bool
{
    auto taken = false;
    auto wantsReport = false;
    {
        const RankedLock lock(this->mutex);
        this->dropExpiredShares(now);
        auto &share = this->find(organisation, now);
        ++share.arrivals;
        share.lastArrival = std::max(share.lastArrival, now);
        taken = share.bucket.tryTake(now);
        if (!taken) {
            ++share.refused;
            wantsReport = !this->reportRequested && this->exceedsReportedDemand(share, now);
            this->reportRequested = this->reportRequested || wantsReport;
        }
    }
    if (wantsReport && this->hooks.reportWanted)
        this->hooks.reportWanted();
    return taken;
}

auto ShareHolder::tryAcquireQueued(std::string_view organisation, TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    this->dropExpiredShares(now);
    const auto found = this->organisations.find(organisation);
    return found != this->organisations.end() && found->second.bucket.tryTake(now);
}

auto ShareHolder::setBacklog(std::string_view organisation, std::uint64_t waiting, TimePoint now)
    -> void
{
    const RankedLock lock(this->mutex);
    this->find(organisation, now).backlog = waiting;
}

auto ShareHolder::timeToToken(std::string_view organisation, TimePoint now)
    -> std::optional<Duration>
{
    const RankedLock lock(this->mutex);
    this->dropExpiredShares(now);
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
        return std::nullopt;
    return found->second.bucket.timeToToken(now);
}

auto ShareHolder::tokensRequested() -> void
{
    const RankedLock lock(this->mutex);
    this->used = true;
}

auto ShareHolder::beginReport(TimePoint now) -> ShareReport
{
    const RankedLock lock(this->mutex);
    this->dropExpiredShares(now);
    const auto elapsed = this->reportedAt ? now - *this->reportedAt : Duration::zero();
    const auto keep = decayFactor(elapsed);
    this->reportedAt = now;
    this->reportRequested = false;
    auto report = ShareReport{.holder = this->holder, .zone = this->zone};
    report.sequence = ++this->sequence;
    report.leadership = this->leadership;
    this->firstReportAt = this->firstReportAt.value_or(now);
    report.unusedFor = this->used ? Duration::zero() : now - *this->firstReportAt;
    for (auto entry = this->organisations.begin(); entry != this->organisations.end();) {
        auto &share = entry->second;
        share.arrivedPerSecond = share.arrivedPerSecond * keep
                                 + static_cast<double>(share.arrivals) / AVERAGE_TIME_CONSTANT_S;
        const auto active = share.backlog > 0 || now - share.lastArrival < ACTIVE_DURATION;
        if (active) {
            share.reportedPerSecond = reportedRate(share.arrivedPerSecond, share.reportedPerSecond);
            report.demands.push_back(
                {entry->first, share.reportedPerSecond, share.refused, share.backlog});
        }
        share.reported = active;
        share.arrivals = 0;
        share.refused = 0;
        const auto gone = !active && share.rate == 0 && share.burst == 0;
        entry = gone ? this->organisations.erase(entry) : std::next(entry);
    }
    report.heldShares = this->listShares();
    return report;
}

auto ShareHolder::adopt(const ShareGrant &grant, TimePoint end, TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    this->dropExpiredShares(now);
    this->leadership = std::max(this->leadership, grant.leadership);
    if (grant.sequence != this->sequence || end <= now)
        return false;
    this->leaseEnd = std::max(end, this->leaseEnd.value_or(end));
    // Another response to the same report may come, also the same one again.
    const auto takesTokens =
        std::exchange(this->tokensAdoptedFor, grant.sequence) != grant.sequence;
    this->used = this->used || !grant.shares.empty();
    for (const auto &share : grant.shares) {
        auto &held = this->find(share.organisation, now);
        held.rate = share.rate;
        held.burst = share.burst;
        held.bucket.setLimits(static_cast<double>(share.rate) * TOKENS_PER_MILLITOKEN
                                  / (1.0 + this->timing.clockRateMargin),
                              static_cast<double>(share.burst) * TOKENS_PER_MILLITOKEN, now);
        if (takesTokens)
            held.bucket.add(static_cast<double>(share.tokens) * TOKENS_PER_MILLITOKEN, now);
    }
    return true;
}

auto ShareHolder::heldShares(TimePoint now) -> std::vector<Share>
{
    const RankedLock lock(this->mutex);
    this->dropExpiredShares(now);
    return this->listShares();
}

auto ShareHolder::exceedsReportedDemand(const detail::HeldShare &share, TimePoint now) const -> bool
{
    if (!share.reported || !this->reportedAt)
        return true;
    if (now - *this->reportedAt < EARLY_REPORT_INTERVAL)
        return false;
    const auto average = share.arrivedPerSecond * decayFactor(now - *this->reportedAt)
                         + static_cast<double>(share.arrivals) / AVERAGE_TIME_CONSTANT_S;
    return average > share.reportedPerSecond * (1.0 + REPORT_STEP_FRACTION)
                         + EARLY_REPORT_ARRIVALS / AVERAGE_TIME_CONSTANT_S;
}

auto ShareHolder::dropExpiredShares(TimePoint now) -> void
{
    if (!this->leaseEnd || now < *this->leaseEnd)
        return;
    this->leaseEnd = std::nullopt;
    for (auto &[organisation, share] : this->organisations) {
        share.rate = 0;
        share.burst = 0;
        share.bucket.setLimits(0, 0, now);
    }
}

auto ShareHolder::find(std::string_view organisation, TimePoint now) -> detail::HeldShare &
{
    const auto found = this->organisations.find(organisation);
    if (found != this->organisations.end())
        return found->second;
    auto fresh = detail::HeldShare{.bucket = TokenBucket(0, 0, now)};
    fresh.lastArrival = now;
    return this->organisations.emplace(organisation, fresh).first->second;
}

auto ShareHolder::listShares() const -> std::vector<Share>
{
    auto shares = std::vector<Share>();
    for (const auto &[organisation, share] : this->organisations) {
        if (share.rate > 0 || share.burst > 0)
            shares.push_back(
                {.organisation = organisation, .rate = share.rate, .burst = share.burst});
    }
    return shares;
}

} // namespace auburnrail
