#ifndef AUBURNRAIL_OBSERVE_BURNREPORT_H
#define AUBURNRAIL_OBSERVE_BURNREPORT_H

#include <observe/BurnContribution.h>
#include <observe/BurnObjective.h>
#include <observe/BurnStatus.h>
#include <observe/RequestSample.h>
#include <observe/detail/BurnBuckets.h>

#include <core/RankedMutex.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Counts good and bad events of objectives and tells how fast their error budgets are spent.
///
/// Use on an entry: record events and send `contributions` of the last minutes to control again and
/// again. Use at control: `merge` them; resent and reordered ones do no harm. All times are wall
/// clock milliseconds since 1970 UTC, because instances have to agree on the buckets. Thread rule:
/// all operations are safe from any thread.
class BurnReport
{
public:
    /// `source` names this run of this instance.
    explicit BurnReport(std::string source);

    /// Replaces all objectives. Counts of an objective that stays in, by name, are kept.
    auto setObjectives(std::vector<BurnObjective> list) -> void;

    auto recordRequest(const RequestSample &sample, std::int64_t nowMillis) -> void;

    /// Records a failover that left `service` without a primary for `gap`.
    auto recordFailover(std::string_view service, Duration gap, ReasonCode reason,
                        std::int64_t nowMillis) -> void;

    /// What this instance itself counted in the last `minutes` minutes, at most 60.
    [[nodiscard]] auto contributions(int minutes, std::int64_t nowMillis)
        -> std::vector<BurnContribution>;

    /// Adds what `contribution` counts beyond earlier ones of the same source and minute. Returns
    /// false when it is more than MERGE_MINUTES old, or its minute has not begun, and is not
    /// counted.
    auto merge(const BurnContribution &contribution, std::int64_t nowMillis) -> bool;

    /// How all objectives stand, own and merged events together.
    [[nodiscard]] auto evaluate(std::int64_t nowMillis) -> std::vector<BurnStatus>;

    /// Minutes for which `merge` remembers sources; an entry may be cut off from control for as
    /// long without losing counts.
    static constexpr auto MERGE_MINUTES = std::int64_t(30);

private:
    using Sources = std::map<std::string, detail::BurnBuckets::Rows>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto count(const BurnObjective &objective, const RequestSample &sample, bool good,
               std::int64_t nowMillis) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto addToAll(const BurnKey &key, BurnCount count, std::int64_t atMillis) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto sum(const BurnObjective &objective, BurnWidth width, std::int64_t buckets,
             std::int64_t nowMillis) const -> BurnCount;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto evaluateOne(const BurnObjective &objective, std::int64_t nowMillis) const -> BurnStatus;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto spenders(const BurnObjective &objective, std::int64_t buckets,
                  std::int64_t nowMillis) const -> std::vector<BurnSpender>;

    const std::string source;
    RankedMutex mutex{LockRank::BurnReport};
    std::vector<BurnObjective> objectives ABSL_GUARDED_BY(mutex);
    detail::BurnBuckets own ABSL_GUARDED_BY(mutex){BurnWidth::Minute};
    std::array<detail::BurnBuckets, ENUM_NAMES<BurnWidth>.size()> all ABSL_GUARDED_BY(mutex){
        detail::BurnBuckets(BurnWidth::Minute), detail::BurnBuckets(BurnWidth::TenMinutes),
        detail::BurnBuckets(BurnWidth::Hour)};
    std::map<std::int64_t, Sources> merged ABSL_GUARDED_BY(mutex); ///< By start of the minute.
};

} // namespace auburnrail

#endif
