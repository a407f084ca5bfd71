#ifndef AUBURNRAIL_QUOTA_SHAREHOLDER_H
#define AUBURNRAIL_QUOTA_SHAREHOLDER_H

#include <quota/QuotaTiming.h>
#include <quota/ShareGrant.h>
#include <quota/ShareHolderHooks.h>
#include <quota/ShareReport.h>
#include <quota/detail/HeldShare.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Entry side of the distributed rate limit: admits requests from the shares that the ledger has
/// granted. Shares are usable until the lease ends on the holder's own clock. Then they are dropped
/// with their tokens. The token buckets of later grants start with the tokens that the ledger hands
/// over.
///
/// Call `tryAcquire` for each request. For each heartbeat, call `beginReport`, send the report, and
/// `adopt` the grant of the response with the lease end counted from the time of `beginReport`.
/// Thread-safe.
class ShareHolder
{
public:
    ShareHolder(HolderId holder, std::string zone, QuotaTiming timing, ShareHolderHooks hooks = {});

    /// Counts an arriving request of `organisation` and takes one token if one is available.
    auto tryAcquire(std::string_view organisation, TimePoint now) -> bool;

    /// Takes one token for a queued request, which an earlier `tryAcquire` has counted.
    auto tryAcquireQueued(std::string_view organisation, TimePoint now) -> bool;

    /// Sets how many requests of `organisation` are waiting for a token.
    auto setBacklog(std::string_view organisation, std::uint64_t waiting, TimePoint now) -> void;

    /// Time until `organisation` has a token; nothing when its current share never yields one.
    [[nodiscard]] auto timeToToken(std::string_view organisation, TimePoint now)
        -> std::optional<Duration>;

    /// To be called before a request for single tokens is sent; see ShareReport::unusedFor.
    auto tokensRequested() -> void;

    /// Creates the next report. Grants for earlier reports are ignored from now on.
    [[nodiscard]] auto beginReport(TimePoint now) -> ShareReport;

    /// Applies a grant. Returns false and leaves the shares unchanged when the grant is for an
    /// earlier report or when `leaseEnd`, on this holder's clock, has passed.
    auto adopt(const ShareGrant &grant, TimePoint leaseEnd, TimePoint now) -> bool;

    /// Returns the shares that are usable at `now`.
    [[nodiscard]] auto heldShares(TimePoint now) -> std::vector<Share>;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto exceedsReportedDemand(const detail::HeldShare &share, TimePoint now) const -> bool;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto dropExpiredShares(TimePoint now) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto find(std::string_view organisation, TimePoint now) -> detail::HeldShare &;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto listShares() const -> std::vector<Share>;

    const HolderId holder;
    const std::string zone;
    const QuotaTiming timing;
    const ShareHolderHooks hooks;
    RankedMutex mutex{LockRank::ShareHolder};
    std::map<std::string, detail::HeldShare, std::less<>> organisations ABSL_GUARDED_BY(mutex);
    std::uint64_t sequence ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t leadership ABSL_GUARDED_BY(mutex) = 0; ///< Newest that sent a grant.
    std::optional<TimePoint> leaseEnd ABSL_GUARDED_BY(mutex);
    std::optional<TimePoint> reportedAt ABSL_GUARDED_BY(mutex);
    std::optional<TimePoint> firstReportAt ABSL_GUARDED_BY(mutex);
    bool used ABSL_GUARDED_BY(mutex) = false; ///< A share was received or tokens were asked for.
    std::uint64_t tokensAdoptedFor ABSL_GUARDED_BY(mutex) = 0; ///< Sequence of that report.
    bool reportRequested ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
