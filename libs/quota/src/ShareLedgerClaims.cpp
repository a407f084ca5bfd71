#include <quota/ShareLedger.h>

#include <tuple>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto MILLITOKENS_PER_TOKEN = 1000.0;

// Demand is scaled by this factor, so that requests of a steady load find a token immediately.
constexpr auto HEADROOM_FACTOR = 1.25;

// A backlog should be served within half a second, in addition to the arrivals.
constexpr auto BACKLOG_PER_S = 2.0;

} // namespace

auto ShareLedger::applyReport(const ShareReport &report, detail::HolderRecord &record, bool trusted,
                              TimePoint now) -> void
{
    auto claims = std::map<std::string, detail::ShareClaim, std::less<>>();
    for (const auto &share : report.heldShares) {
        auto &claim = claims[share.organisation];
        claim.reportedRate = share.rate;
        claim.reportedBurst = share.burst;
        claim.usedRate = trusted ? share.rate : 0;
        claim.usedBurst = trusted ? share.burst : 0;
    }
    for (const auto &demand : report.demands) {
        auto &claim = claims[demand.organisation];
        claim.active = true;
        claim.demandRate = MILLITOKENS_PER_TOKEN
                           * (demand.arrivedPerSecond * HEADROOM_FACTOR
                              + BACKLOG_PER_S * static_cast<double>(demand.backlog));
    }
    const auto before = std::exchange(record.organisations, {});
    for (auto &[organisation, claim] : claims) {
        if (this->replaceClaim(report, organisation, std::move(claim), now))
            record.organisations.insert(organisation);
    }
    for (const auto &organisation : before) {
        if (!record.organisations.contains(organisation))
            this->removeClaim(report.holder, organisation);
    }
}

/// Returns false when the claim is for an organisation that has neither limits nor a share.
auto ShareLedger::replaceClaim(const ShareReport &report, const std::string &organisation,
                               detail::ShareClaim claim, TimePoint now) -> bool
{
    auto found = this->organisations.find(organisation);
    if (found == this->organisations.end()) {
        if (claim.reportedRate == 0 && claim.reportedBurst == 0)
            return false;
        found = this->addOrganisation(organisation, {}, now);
    }
    auto &shares = found->second;
    auto &row = shares.claims[report.holder];
    const auto view = [](const detail::ShareClaim &value) {
        return std::tuple(value.counted(), value.active, value.demandRate);
    };
    const auto before = view(row);
    if (claim.active)
        shares.users[report.holder].seenAt = now;
    claim.zone = report.zone;
    claim.targetRate = row.targetRate;
    claim.targetBurst = row.targetBurst;
    shares.countedRate += claim.countedRate() - row.countedRate();
    shares.countedBurst += claim.countedBurst() - row.countedBurst();
    row = std::move(claim);
    this->updateReserve(shares, now);
    if (before != view(row))
        this->changed.insert(organisation);
    return true;
}

auto ShareLedger::removeClaim(const HolderId &holder, const std::string &organisation) -> void
{
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
        return;
    auto &shares = found->second;
    const auto claim = shares.claims.find(holder);
    if (claim == shares.claims.end())
        return;
    shares.countedRate -= claim->second.countedRate();
    shares.countedBurst -= claim->second.countedBurst();
    shares.claims.erase(claim);
    if (shares.claims.empty() && shares.limits == ShareLimits())
        this->removed.insert(organisation);
    this->changed.insert(organisation);
}

} // namespace auburnrail
