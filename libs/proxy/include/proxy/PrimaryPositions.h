#ifndef AUBURNRAIL_PROXY_PRIMARYPOSITIONS_H
#define AUBURNRAIL_PROXY_PRIMARYPOSITIONS_H

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

/// How far the log of each group's primary was known to be, at which times. A read that may be
/// `age` old needs no more than what the primary held `age` ago; the oldest such knowledge is used,
/// since most replicas have that much. Times are those at which a request was sent whose answer
/// named the position, so every commit acknowledged before is covered. Safe from any thread.
class PrimaryPositions
{
public:
    /// Samples of one group closer than this are merged.
    static constexpr auto SAMPLE_INTERVAL_MS = std::chrono::milliseconds(20);
    /// The longest staleness that is served from samples; longer ones are served as this one.
    static constexpr auto HISTORY_MS = std::chrono::milliseconds(5000);

    /// The primary of the group's `term` named this position in its answer to a request of
    /// `sentAt`.
    auto record(std::string_view group, std::uint64_t term, Position position, TimePoint sentAt)
        -> void;

    /// The group is in a new term: what was known of the former primary is dropped, because its log
    /// may end differently.
    auto setTerm(std::string_view group, std::uint64_t term) -> void;

    /// A position that covers every commit acknowledged before `now - maxAge`; nothing when no
    /// sample is new enough.
    [[nodiscard]] auto required(std::string_view group, Duration maxAge, TimePoint now)
        -> std::optional<Position>;

private:
    struct Sample
    {
        TimePoint sentAt;
        Position position;
    };

    struct History
    {
        std::uint64_t term = 0;
        std::deque<Sample> samples; ///< By sentAt; positions never go down.
    };

    RankedMutex mutex{LockRank::PrimaryPositions};
    std::map<std::string, History, std::less<>> histories ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
