#ifndef AUBURNRAIL_FAILOVER_DETAIL_EVIDENCEWATCH_H
#define AUBURNRAIL_FAILOVER_DETAIL_EVIDENCEWATCH_H

#include <failover/EvidenceWaitStage.h>
#include <failover/FailoverLimits.h>

#include <core/Time.h>

#include <optional>

namespace auburnrail::detail {

/// Measures how long one failover waits for evidence, and decides when that is reported. A wait
/// goes on in a further term of the failover. Short waits aren't reported, since each failover
/// waits for responses.
class EvidenceWatch
{
public:
    /// Must be called while no endpoint may be promoted for lack of a proof. `since` is when that
    /// began, and counts if it wasn't so before.
    auto lacksProof(TimePoint since) -> void;

    /// Must be called when there is a proof, or the failover ends. Returns `Ended` if the wait was
    /// reported.
    [[nodiscard]] auto end(TimePoint now) -> std::optional<EvidenceWaitStage>;

    /// The stage that is to be reported now, if any.
    [[nodiscard]] auto takeReport(const FailoverLimits &limits, TimePoint now)
        -> std::optional<EvidenceWaitStage>;

    /// Whether the failover has not waited yet.
    [[nodiscard]] auto isNew() const -> bool;

    /// Since when the wait lasts; nothing if the failover doesn't wait.
    [[nodiscard]] auto since() const -> std::optional<TimePoint>;

    /// Length of all waits up to `now`.
    [[nodiscard]] auto waited(TimePoint now) const -> Duration;

    /// Whether the failover waits, for long enough to have been reported.
    [[nodiscard]] auto isReported() const -> bool;

private:
    std::optional<TimePoint> began;
    std::optional<TimePoint> nextReportAt; ///< Set once the wait has been reported.
    std::optional<Duration> ended;         ///< Length of the waits that have ended.
};

} // namespace auburnrail::detail

#endif
