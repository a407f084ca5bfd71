#ifndef AUBURNRAIL_QUOTA_SHARELEDGER_H
#define AUBURNRAIL_QUOTA_SHARELEDGER_H

#include <quota/QuotaTiming.h>
#include <quota/ShareGrant.h>
#include <quota/ShareLeadership.h>
#include <quota/ShareLedgerHooks.h>
#include <quota/ShareLimits.h>
#include <quota/ShareReport.h>
#include <quota/detail/HolderRecord.h>
#include <quota/detail/OrganisationShares.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Leader side of quota lending. At any time the shares that holders can use sum up to at most the
/// limits of each organisation, because a holder counts with the greater of what it reported and
/// what was granted in answer, until its next report or until its lease has surely ended.
///
/// Use: `beginLeadership` when elected, `setLimits` for each organisation, `report` for each
/// heartbeat, `expire` from a timer. Call `report` and `grant` only while the leader may grant
/// leases, and answer leases and shares of one heartbeat together. Thread rule: all operations are
/// safe from any thread.
class ShareLedger
{
public:
    explicit ShareLedger(QuotaTiming timing, ShareLedgerHooks hooks = {});

    /// Forgets all holders. What they report is adopted and no share grows until nothing that the
    /// earlier leader lent can be in use unseen: when each of its holders has sent a report after
    /// it heard of this leadership, or when one lease wait has passed.
    auto beginLeadership(ShareLeadership begun, TimePoint now) -> void;

    /// Number of the present leadership; 0 before the first.
    [[nodiscard]] auto leadership() -> std::uint64_t;

    /// Sets the limits of `organisation`. Lowered limits shrink shares with the next answers; until
    /// holders confirm, the earlier limits bound what is admitted.
    auto setLimits(std::string_view organisation, ShareLimits limits, TimePoint now) -> void;

    /// Removes an organisation; its shares are taken back with the next answers.
    auto removeLimits(std::string_view organisation, TimePoint now) -> void;

    /// Takes a holder's report and answers it. A late report with an outdated sequence gets an
    /// empty answer. A repeated one is answered again; both answers stay counted.
    [[nodiscard]] auto report(const ShareReport &report, TimePoint now) -> ShareGrant;

    /// Answers the last report of `holder` again; for an answer that was held back. Empty when the
    /// holder is unknown.
    [[nodiscard]] auto grant(const HolderId &holder, TimePoint now) -> ShareGrant;

    /// Takes back the shares of holders whose lease has surely ended.
    auto expire(TimePoint now) -> void;

    /// When `expire` has something to take back next.
    [[nodiscard]] auto nextExpiry() -> std::optional<TimePoint>;

    /// Sum of the shares of `organisation` that holders can use.
    [[nodiscard]] auto lent(std::string_view organisation) -> Share;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto takeReport(const ShareReport &report, detail::HolderRecord &record, bool trusted) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto replaceClaim(const ShareReport &report, const std::string &organisation,
                      detail::ShareClaim claim) -> bool;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto removeClaim(const HolderId &holder, const std::string &organisation) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto answer(const HolderId &holder, const detail::HolderRecord &record) -> ShareGrant;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto expireLocked(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto startLendingWhenSafe(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto allocateChanged(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto findReady(const detail::OrganisationShares &shares) -> void;
    auto notify(const std::set<HolderId> &holders) -> void;

    const QuotaTiming timing;
    const ShareLedgerHooks hooks;
    RankedMutex mutex{LockRank::ShareLedger};
    std::map<std::string, detail::OrganisationShares, std::less<>>
        organisations ABSL_GUARDED_BY(mutex);
    std::map<HolderId, detail::HolderRecord> holders ABSL_GUARDED_BY(mutex);
    std::set<std::pair<TimePoint, HolderId>> expiries ABSL_GUARDED_BY(mutex);
    std::set<std::string, std::less<>> changed ABSL_GUARDED_BY(mutex);
    std::set<HolderId> ready ABSL_GUARDED_BY(mutex);
    ShareLeadership current ABSL_GUARDED_BY(mutex); ///< With the holders not heard under it yet.
    std::optional<TimePoint> lendingFrom ABSL_GUARDED_BY(mutex); ///< At the latest.
    bool lending ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
