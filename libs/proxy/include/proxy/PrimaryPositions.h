#ifndef AUBURNRAIL_PROXY_PRIMARYPOSITIONS_H
#define AUBURNRAIL_PROXY_PRIMARYPOSITIONS_H

#include <proxy/PrimarySample.h>

#include <core/Position.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

#include <absl/base/thread_annotations.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// History of the log positions of each group's primary. A read with maximum staleness `age` needs
/// only the position that the primary had `age` ago. Of the samples that are new enough the oldest
/// is used, since most replicas have reached it. A sample's time is the time at which the request
/// was sent whose response reported the position, so the position covers every commit acknowledged
/// before that time. Thread-safe.
class PrimaryPositions
{
public:
    /// Minimum time between two samples of a group; a sample that follows sooner is dropped.
    static constexpr auto SAMPLE_INTERVAL_MS = std::chrono::milliseconds(20);
    /// Age up to which samples are kept. A greater maximum staleness is treated like this one.
    static constexpr auto HISTORY_MS = std::chrono::milliseconds(5000);

    /// Records the position that the primary of the group's `term` reported in its response to a
    /// request sent at `sentAt`.
    auto record(std::string_view group, std::uint64_t term, Position position, TimePoint sentAt)
        -> void;

    /// Sets the group's term. On a change of term the samples of the former primary are dropped,
    /// because its log may end differently.
    auto setTerm(std::string_view group, std::uint64_t term) -> void;

    /// Returns a sample whose position covers every commit acknowledged before `now -
    /// maxStaleness`; std::nullopt when none is new enough.
    [[nodiscard]] auto required(std::string_view group, Duration maxStaleness, TimePoint now)
        -> std::optional<PrimarySample>;

    /// The newest sample and its term; std::nullopt without one.
    [[nodiscard]] auto newest(std::string_view group)
        -> std::optional<std::pair<std::uint64_t, PrimarySample>>;

    /// Estimates when the primary reached `position`, on the assumption that it writes evenly
    /// between two samples. std::nullopt for a position before the first sample or after the last.
    [[nodiscard]] auto reachedAt(std::string_view group, Position position)
        -> std::optional<TimePoint>;

private:
    struct History
    {
        std::uint64_t term = 0;
        std::deque<PrimarySample> samples; ///< Ordered by sentAt; positions never decrease.
    };

    RankedMutex mutex{LockRank::PrimaryPositions};
    std::map<std::string, History, std::less<>> histories ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
