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

/// Entry side of quota lending: admits requests from the shares that the ledger lent. Shares are
/// usable until the lease ends by the holder's own clock; then they are dropped with their tokens,
/// and whatever the next answer grants starts empty.
///
/// Use: `tryAcquire` for each request; for each heartbeat `beginReport`, send it, and `adopt` the
/// answer with the lease end measured from the time of `beginReport`.
/// Thread rule: all operations are safe from any thread.
class ShareHolder
{
public:
    ShareHolder(HolderId holder, std::string zone, QuotaTiming timing, ShareHolderHooks hooks = {});

    /// Counts an arrival of `organisation` and takes one token if there is one.
    auto tryAcquire(std::string_view organisation, TimePoint now) -> bool;

    /// Takes one token for a request that was counted by an earlier `tryAcquire` and waited.
    auto tryAcquireQueued(std::string_view organisation, TimePoint now) -> bool;

    /// States how many requests of `organisation` wait for a token now.
    auto setBacklog(std::string_view organisation, std::uint64_t waiting, TimePoint now) -> void;

    /// Time until `organisation` has a token; nothing when the present share never yields one.
    [[nodiscard]] auto timeToToken(std::string_view organisation, TimePoint now)
        -> std::optional<Duration>;

    /// Makes the next report. Answers to earlier reports are void from here on.
    [[nodiscard]] auto beginReport(TimePoint now) -> ShareReport;

    /// Takes over an answer. Returns false and changes nothing when it answers an earlier report or
    /// `leaseEnd`, on this holder's clock, has passed.
    auto adopt(const ShareGrant &grant, TimePoint leaseEnd, TimePoint now) -> bool;

    /// Shares usable at `now`.
    [[nodiscard]] auto heldShares(TimePoint now) -> std::vector<Share>;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto outgrewReport(const detail::HeldShare &share, TimePoint now) const -> bool;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto dropLapsed(TimePoint now) -> void;
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
    std::uint64_t leadership ABSL_GUARDED_BY(mutex) = 0; ///< Newest one that answered.
    std::optional<TimePoint> leaseEnd ABSL_GUARDED_BY(mutex);
    std::optional<TimePoint> reportedAt ABSL_GUARDED_BY(mutex);
    bool wanted ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
