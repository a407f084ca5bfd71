#include <quota/ShareLedger.h>

#include <LimitUsers.h>

#include <core/RankedLock.h>

namespace auburnrail {

namespace {

constexpr auto TOKENS_PER_MILLITOKEN = 1e-3;

} // namespace

auto ShareLedger::takeTokens(const TokenRequest &request, TimePoint now) -> TokenResponse
{
    auto response = TokenResponse();
    auto notices = detail::LedgerNotices();
    {
        const RankedLock lock(this->mutex);
        this->expireLocked(now);
        response.granting = this->granting;
        if (!this->granting)
            return response;
        for (const auto &demand : request.demands) {
            const auto found = this->organisations.find(demand.organisation);
            if (found == this->organisations.end())
                continue;
            auto &shares = found->second;
            if (!shares.users.contains(request.holder) && shares.dividedPart > 0)
                this->changed.insert(demand.organisation);
            response.grants.push_back(this->takeFrom(shares, request.holder, demand, now));
        }
        this->allocateChanged(now);
        notices = this->takeNotices();
    }
    this->notify(notices);
    return response;
}

auto ShareLedger::takeFrom(detail::OrganisationShares &shares, const HolderId &holder,
                           const TokenDemand &demand, TimePoint now) -> TokenGrant
{
    this->updateReserve(shares, now);
    auto grant = TokenGrant{.organisation = demand.organisation, .wait = {}};
    grant.tokens = shares.reserve.take(demand.tokens, now);
    grant.interval = shares.reserve.interval();
    const auto unmet = demand.tokens - grant.tokens;
    if (unmet > 0) {
        // The tokens that others wait for come first.
        const auto ahead = detail::tokensAwaitedByOthers(shares.users, holder, now);
        if (const auto first = shares.reserve.timeToToken(now))
            grant.wait = *first + grant.interval * ahead;
    }
    shares.users[holder] = detail::LimitUser{.seenAt = now, .askedAt = now, .unmet = unmet};
    return grant;
}

auto ShareLedger::updateReserve(detail::OrganisationShares &shares, TimePoint now) -> void
{
    const auto rate = static_cast<double>(shares.limits.rate - shares.countedRate);
    const auto burst = static_cast<double>(shares.limits.burst - shares.countedBurst);
    shares.reserve.setLimits(rate * TOKENS_PER_MILLITOKEN / (1.0 + this->timing.clockRateMargin),
                             burst * TOKENS_PER_MILLITOKEN, this->timing.tokenWait(), now);
}

auto ShareLedger::addOrganisation(std::string_view organisation, ShareLimits limits, TimePoint now)
    -> Organisations::iterator
{
    const auto added = this->organisations.try_emplace(std::string(organisation)).first;
    // An earlier leader may have granted tokens of limits that this one has just learned of.
    if (!this->granting)
        added->second.reserve.begin(limits.burst, now);
    return added;
}

auto ShareLedger::eraseRemoved(TimePoint now) -> void
{
    std::erase_if(this->removed, [&](const std::string &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
        const auto found = this->organisations.find(name);
        if (found == this->organisations.end() || found->second.limits != ShareLimits())
            return true;
        this->updateReserve(found->second, now);
        // Shares and tokens that are in use count if the organisation is added again.
        if (!found->second.claims.empty() || found->second.reserve.inFlight() > 0)
            return false;
        this->changed.erase(name);
        this->organisations.erase(found);
        return true;
    });
}

} // namespace auburnrail
