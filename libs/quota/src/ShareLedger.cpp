#include <quota/ShareLedger.h>

#include <ShareAllocation.h>
#include <ShareAmounts.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

// Minimum interval between two allocations of one organisation, per claim. It keeps the cost of an
// organisation independent of how often its holders report.
constexpr auto ALLOCATION_INTERVAL_PER_CLAIM = std::chrono::microseconds(50);

// A holder counts as a user of the limits for this long after its last demand.
constexpr auto USER_RETENTION = std::chrono::seconds(60);

// Limits that are not divided are looked at again in this interval, because fewer holders may use
// them by then.
constexpr auto UNDIVIDED_CHECK_INTERVAL = Duration(std::chrono::seconds(1));

/// Minimum interval between two allocations of an organisation.
auto allocationInterval(const detail::OrganisationShares &shares) -> Duration
{
    return shares.dividedPart > 0 ? ALLOCATION_INTERVAL_PER_CLAIM * shares.claims.size()
                                  : UNDIVIDED_CHECK_INTERVAL;
}

} // namespace

ShareLedger::ShareLedger(QuotaTiming timing, ShareLedgerHooks hooks)
    : timing(timing)
    , hooks(std::move(hooks))
{
}

auto ShareLedger::beginLeadership(ShareLeadership begun, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    this->current = std::move(begun);
    this->lastReporter.clear();
    this->unusedSince.reset();
    this->someHolderUsed = false;
    this->holders.clear();
    this->expiries.clear();
    this->ready.clear();
    for (auto &[organisation, shares] : this->organisations) {
        shares = detail::OrganisationShares{.limits = shares.limits};
        shares.reserve.begin(shares.limits.burst, now);
    }
    this->granting = false;
    this->grantingFrom = now + this->timing.leaseWait();
}

auto ShareLedger::leadership() -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return this->current.number;
}

auto ShareLedger::setLimits(std::string_view organisation, ShareLimits limits, TimePoint now)
    -> void
{
    auto notices = detail::LedgerNotices();
    {
        const RankedLock lock(this->mutex);
        this->startGrantingWhenSafe(now);
        auto found = this->organisations.find(organisation);
        if (found == this->organisations.end())
            found = this->addOrganisation(organisation, limits, now);
        if (found->second.limits == limits)
            return;
        found->second.limits = limits;
        this->updateReserve(found->second, now);
        this->changed.emplace(organisation);
        this->allocateChanged(now);
        notices = this->takeNotices();
    }
    this->notify(notices);
}

auto ShareLedger::removeLimits(std::string_view organisation, TimePoint now) -> void
{
    this->setLimits(organisation, {}, now);
    const RankedLock lock(this->mutex);
    this->removed.emplace(organisation);
    this->eraseRemoved(now);
}

auto ShareLedger::report(const ShareReport &report, TimePoint now) -> ShareGrant
{
    auto grant = ShareGrant{.sequence = report.sequence};
    auto notices = detail::LedgerNotices();
    {
        const RankedLock lock(this->mutex);
        grant.leadership = this->current.number;
        if (!this->grantingFrom)
            return grant;
        this->expireLocked(now);
        const auto known = this->holders.find(report.holder);
        if (known != this->holders.end() && report.sequence < known->second.sequence)
            return grant;
        auto &record = this->holders[report.holder];
        if (report.sequence > record.sequence) {
            // Once granting has started, the lease of an unknown holder has ended, so it no longer
            // uses the shares that it reports.
            const auto trusted = known != this->holders.end() || !this->granting;
            this->expiries.erase({record.expiresAt, report.holder});
            record.expiresAt = now + this->timing.leaseWait();
            this->expiries.emplace(record.expiresAt, report.holder);
            record.sequence = report.sequence;
            record.notified = false;
            record.zone = report.zone;
            this->applyReport(report, record, trusted, now);
        }
        // A report made under this leadership is later than every grant of an earlier one.
        if (report.leadership == this->current.number
            && this->current.earlierHolders.erase(report.holder.instance) > 0) {
            this->lastReporter = report.holder.instance;
            this->recordUnused(report, now);
        }
        this->startGrantingWhenSafe(now);
        this->allocateChanged(now);
        grant = this->makeGrant(report.holder, record, now);
        this->ready.erase(report.holder);
        notices = this->takeNotices();
    }
    this->notify(notices);
    return grant;
}

auto ShareLedger::grant(const HolderId &holder, TimePoint now) -> ShareGrant
{
    auto grant = ShareGrant();
    auto notices = detail::LedgerNotices();
    {
        const RankedLock lock(this->mutex);
        this->expireLocked(now);
        this->allocateChanged(now);
        const auto found = this->holders.find(holder);
        if (found != this->holders.end())
            grant = this->makeGrant(holder, found->second, now);
        this->ready.erase(holder);
        notices = this->takeNotices();
    }
    this->notify(notices);
    return grant;
}

auto ShareLedger::expire(TimePoint now) -> void
{
    auto notices = detail::LedgerNotices();
    {
        const RankedLock lock(this->mutex);
        this->expireLocked(now);
        this->allocateChanged(now);
        notices = this->takeNotices();
    }
    this->notify(notices);
}

auto ShareLedger::nextExpiry() -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    auto next = std::optional<TimePoint>();
    const auto consider = [&](TimePoint time) {
        next = std::min(time, next.value_or(time));
    };
    if (!this->expiries.empty())
        consider(this->expiries.begin()->first);
    if (this->grantingFrom && !this->granting)
        consider(*this->grantingFrom);
    for (const auto &organisation : this->changed) {
        const auto &shares = this->organisations[organisation];
        consider(shares.allocatedAt.value_or(TimePoint()) + allocationInterval(shares));
    }
    return next;
}

auto ShareLedger::allocated(std::string_view organisation) -> Share
{
    const RankedLock lock(this->mutex);
    auto sum = Share{.organisation = std::string(organisation)};
    const auto found = this->organisations.find(organisation);
    if (found != this->organisations.end()) {
        sum.rate = found->second.countedRate;
        sum.burst = found->second.countedBurst;
    }
    return sum;
}

auto ShareLedger::activity() -> ShareLedgerActivity
{
    const RankedLock lock(this->mutex);
    return this->work;
}

auto ShareLedger::makeGrant(const HolderId &holder, const detail::HolderRecord &record,
                            TimePoint now) -> ShareGrant
{
    auto grant = ShareGrant{.sequence = record.sequence, .leadership = this->current.number};
    for (const auto &organisation : record.organisations) {
        auto &shares = this->organisations[organisation];
        auto &claim = shares.claims[holder];
        this->updateReserve(shares, now);
        const auto [countedRate, countedBurst] = claim.counted();
        // Before granting starts, no share grows, and shares are reduced only where they exceed the
        // limits by themselves.
        const auto tokensInFlight = this->granting ? shares.reserve.inFlight() : 0;
        const auto rate =
            detail::nextAmount(claim.usedRate, claim.targetRate, shares.countedRate - countedRate,
                               shares.limits.rate, this->granting);
        const auto burst = detail::nextAmount(claim.usedBurst, claim.targetBurst,
                                              shares.countedBurst - countedBurst + tokensInFlight,
                                              shares.limits.burst, this->granting);
        claim.grantedRate = std::max(claim.grantedRate, rate);
        claim.grantedBurst = std::max(claim.grantedBurst, burst);
        // What the reserve gives up goes along with its tokens.
        const auto tokens = shares.reserve.handOver(claim.countedBurst() - countedBurst, now);
        shares.countedRate += claim.countedRate() - countedRate;
        shares.countedBurst += claim.countedBurst() - countedBurst;
        this->updateReserve(shares, now);
        if (rate == claim.reportedRate && burst == claim.reportedBurst)
            continue;
        grant.shares.push_back({organisation, rate, burst, tokens});
        grant.urgent = grant.urgent || detail::isUrgent(claim.reportedRate, rate)
                       || detail::isUrgent(claim.reportedBurst, burst);
    }
    return grant;
}

auto ShareLedger::expireLocked(TimePoint now) -> void
{
    this->startGrantingWhenSafe(now);
    this->eraseRemoved(now);
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto holder = this->expiries.begin()->second;
        this->expiries.erase(this->expiries.begin());
        const auto record = this->holders.extract(holder);
        for (const auto &organisation : record.mapped().organisations)
            this->removeClaim(holder, organisation);
    }
}

auto ShareLedger::startGrantingWhenSafe(TimePoint now) -> void
{
    if (!this->grantingFrom || this->granting)
        return;
    if (now < *this->grantingFrom && !this->current.earlierHolders.empty())
        return;
    this->granting = true;
    const auto fillsSince = this->current.earlierHolders.empty() ? this->unusedSince : std::nullopt;
    // Until now, a holder may have used a share of an earlier leader that was not counted here.
    const auto usedUntil = std::min(now, *this->grantingFrom);
    for (auto &[organisation, shares] : this->organisations) {
        if (fillsSince && shares.countedRate == 0 && shares.countedBurst == 0) {
            shares.reserve.beginUnused(*fillsSince);
            this->updateReserve(shares, *fillsSince);
        } else {
            shares.reserve.dropTokens(usedUntil);
        }
    }
    this->started =
        ShareGrantingStart{.waited = now - (*this->grantingFrom - this->timing.leaseWait()),
                           .lastReporter = this->lastReporter,
                           .unreported = this->current.earlierHolders};
    for (const auto &[organisation, shares] : this->organisations)
        this->changed.insert(organisation);
}

auto ShareLedger::recordUnused(const ShareReport &report, TimePoint now) -> void
{
    if (report.unusedFor <= Duration::zero())
        this->someHolderUsed = true;
    const auto since = now - this->timing.withoutMargin(report.unusedFor);
    this->unusedSince = this->someHolderUsed
                            ? std::nullopt
                            : std::optional(std::max(since, this->unusedSince.value_or(since)));
}

auto ShareLedger::allocateChanged(TimePoint now) -> void
{
    for (auto name = this->changed.begin(); name != this->changed.end();) {
        auto &shares = this->organisations[*name];
        if (shares.allocatedAt && now - *shares.allocatedAt < allocationInterval(shares)) {
            ++name;
            continue;
        }
        if (!shares.claims.empty()) {
            shares.allocatedAt = now;
            std::erase_if(shares.users, [now](const auto &row) {
                return now - row.second.seenAt > USER_RETENTION;
            });
            detail::allocateShares(shares);
            ++this->work.allocations;
            this->work.claims += shares.claims.size();
            this->findReady(shares);
        }
        name = this->changed.erase(name);
    }
}

auto ShareLedger::findReady(const detail::OrganisationShares &shares) -> void
{
    if (!this->granting)
        return;
    const auto unallocatedRate = shares.limits.rate - shares.countedRate;
    const auto unallocatedBurst = shares.limits.burst - shares.countedBurst;
    for (const auto &[holder, claim] : shares.claims) {
        // One notice brings the holder's next report, whose response has all that changed until
        // then.
        const auto record = this->holders.find(holder);
        if (record == this->holders.end() || record->second.notified)
            continue;
        if (detail::wouldBeUrgent(claim.usedRate, claim.targetRate, unallocatedRate)
            || detail::wouldBeUrgent(claim.usedBurst, claim.targetBurst, unallocatedBurst))
            this->ready.insert(holder);
    }
}

auto ShareLedger::takeNotices() -> detail::LedgerNotices
{
    this->work.notifications += this->ready.size();
    for (const auto &holder : this->ready) {
        if (const auto record = this->holders.find(holder); record != this->holders.end())
            record->second.notified = true;
    }
    return detail::LedgerNotices{.ready = std::exchange(this->ready, {}),
                                 .started = std::exchange(this->started, std::nullopt)};
}

auto ShareLedger::notify(const detail::LedgerNotices &notices) -> void
{
    if (notices.started && this->hooks.grantingStarted)
        this->hooks.grantingStarted(*notices.started);
    if (!this->hooks.grantReady)
        return;
    for (const auto &holder : notices.ready)
        this->hooks.grantReady(holder);
}

} // namespace auburnrail
