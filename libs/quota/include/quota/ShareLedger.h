#ifndef AUBURNRAIL_QUOTA_SHARELEDGER_H
#define AUBURNRAIL_QUOTA_SHARELEDGER_H

#include <quota/QuotaTiming.h>
#include <quota/ShareGrant.h>
#include <quota/ShareLeadership.h>
#include <quota/ShareLedgerActivity.h>
#include <quota/ShareLedgerHooks.h>
#include <quota/ShareLimits.h>
#include <quota/ShareReport.h>
#include <quota/TokenRequest.h>
#include <quota/TokenResponse.h>
#include <quota/detail/HolderRecord.h>
#include <quota/detail/LedgerNotices.h>
#include <quota/detail/OrganisationShares.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Leader side of the distributed rate limit: grants shares of each organisation's limits to the
/// holders. At any time the shares that holders can use sum to at most the limits, because each
/// holder counts with the greater of what it reported and what was granted in response, until its
/// next report or until its lease has ended on any clock. What no holder has a share of is a token
/// bucket here, from which `takeTokens` grants.
///
/// Call `beginLeadership` when elected, `setLimits` for each organisation, `report` for each
/// heartbeat, and `expire` from a timer. Call `report` and `grant` only while the leader may grant
/// leases, and send the lease and the shares of a heartbeat in the same response. Thread-safe.
class ShareLedger
{
public:
    explicit ShareLedger(QuotaTiming timing, ShareLedgerHooks hooks = {});

    /// Discards the state of all holders. Until no share granted by an earlier leader can be in use
    /// unreported, reported shares are accepted as they are and no share grows. That is when each
    /// earlier holder has sent a report after it saw this leadership, or when one lease wait has
    /// passed.
    auto beginLeadership(ShareLeadership begun, TimePoint now) -> void;

    /// Number of the current leadership; 0 before the first.
    [[nodiscard]] auto leadership() -> std::uint64_t;

    /// Sets the limits of `organisation`. Lowered limits shrink shares with the next grants; until
    /// the holders confirm those in a report, the previous limits bound what is admitted.
    auto setLimits(std::string_view organisation, ShareLimits limits, TimePoint now) -> void;

    /// Removes an organisation; its shares are reclaimed with the next grants.
    auto removeLimits(std::string_view organisation, TimePoint now) -> void;

    /// Processes a holder's report and returns the grant for it. A delayed report with an outdated
    /// sequence gets an empty grant. A duplicate gets another grant; both grants stay counted.
    [[nodiscard]] auto report(const ShareReport &report, TimePoint now) -> ShareGrant;

    /// Returns another grant for the last report of `holder`, for a response that was held back.
    /// Empty when the holder is unknown.
    [[nodiscard]] auto grant(const HolderId &holder, TimePoint now) -> ShareGrant;

    /// Grants single tokens from what no holder has a share of. They may be used until the token
    /// lifetime has passed since the request was sent. A repeated request gets further tokens.
    [[nodiscard]] auto takeTokens(const TokenRequest &request, TimePoint now) -> TokenResponse;

    /// Reclaims the shares of holders whose lease has ended on any clock.
    auto expire(TimePoint now) -> void;

    /// Next time at which to call `expire`: a lease ends, granting may start, or an allocation is
    /// due.
    [[nodiscard]] auto nextExpiry() -> std::optional<TimePoint>;

    /// Sum of the shares of `organisation` that holders may be using.
    [[nodiscard]] auto allocated(std::string_view organisation) -> Share;

    /// Counts of the work done so far.
    [[nodiscard]] auto activity() -> ShareLedgerActivity;

private:
    using Organisations = std::map<std::string, detail::OrganisationShares, std::less<>>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto applyReport(const ShareReport &report, detail::HolderRecord &record, bool trusted,
                     TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto replaceClaim(const ShareReport &report, const std::string &organisation,
                      detail::ShareClaim claim, TimePoint now) -> bool;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto removeClaim(const HolderId &holder, const std::string &organisation) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto makeGrant(const HolderId &holder, const detail::HolderRecord &record, TimePoint now)
        -> ShareGrant;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto takeFrom(detail::OrganisationShares &shares, const HolderId &holder,
                  const TokenDemand &demand, TimePoint now) -> TokenGrant;
    /// Sets the reserve's limits to what the claims leave.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto updateReserve(detail::OrganisationShares &shares, TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto addOrganisation(std::string_view organisation, ShareLimits limits, TimePoint now)
        -> Organisations::iterator;
    /// Forgets removed organisations of which nothing is in use any more.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto eraseRemoved(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto expireLocked(TimePoint now) -> void;
    /// Records since when an earlier holder has admitted nothing.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto recordUnused(const ShareReport &report, TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto startGrantingWhenSafe(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto allocateChanged(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto findReady(const detail::OrganisationShares &shares) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto takeNotices() -> detail::LedgerNotices;
    auto notify(const detail::LedgerNotices &notices) -> void;

    const QuotaTiming timing;
    const ShareLedgerHooks hooks;
    RankedMutex mutex{LockRank::ShareLedger};
    Organisations organisations ABSL_GUARDED_BY(mutex);
    std::map<HolderId, detail::HolderRecord> holders ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, HolderId>> expiries ABSL_GUARDED_BY(mutex);
    std::set<std::string, std::less<>> changed ABSL_GUARDED_BY(mutex);
    std::set<std::string, std::less<>> removed ABSL_GUARDED_BY(mutex);
    std::set<HolderId> ready ABSL_GUARDED_BY(mutex);
    std::optional<ShareGrantingStart>
        started ABSL_GUARDED_BY(mutex); ///< Not yet passed to the hook.
    ShareLedgerActivity work ABSL_GUARDED_BY(mutex);
    ShareLeadership current
        ABSL_GUARDED_BY(mutex); ///< With the earlier holders that have not reported under it yet.
    std::string lastReporter ABSL_GUARDED_BY(mutex); ///< Of the earlier holders.
    /// Since when none of the earlier holders that have reported has admitted anything.
    std::optional<TimePoint> unusedSince ABSL_GUARDED_BY(mutex);
    bool someHolderUsed ABSL_GUARDED_BY(mutex) = false;           ///< An earlier holder may have.
    std::optional<TimePoint> grantingFrom ABSL_GUARDED_BY(mutex); ///< Latest start.
    bool granting ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
