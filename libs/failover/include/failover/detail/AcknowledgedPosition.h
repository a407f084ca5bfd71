#ifndef AUBURNRAIL_FAILOVER_DETAIL_ACKNOWLEDGEDPOSITION_H
#define AUBURNRAIL_FAILOVER_DETAIL_ACKNOWLEDGEDPOSITION_H

#include <failover/ObservedPosition.h>

#include <lease/LeaseCensus.h>

#include <core/Position.h>
#include <core/Time.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburnrail::detail {

/// The highest position that the entries have acknowledged in a group whose primary is being
/// replaced. Known when every live entry has reported its own, after which it acknowledges nothing
/// more in an earlier term, and the old primary has named a position after the last of the other
/// entries could acknowledge: theirs are at or before it. Once known it never changes.
class AcknowledgedPosition
{
public:
    /// What an earlier leader of the same failover has found out; final.
    auto restore(Position position) -> void;

    /// What earlier terms acknowledged after `position` doesn't count: its loss was accepted.
    auto giveUpAfter(Position position) -> void;

    /// Adds the final report of an entry, and what it has observed of the old primary.
    auto report(const LeaseId &holder, Position position,
                const std::vector<ObservedPosition> &observed) -> void;

    /// Sets from whom a report is needed: every holder in `leases`, and evidence about the others.
    /// The first census must have been taken when all live leases named the new term; further ones
    /// may follow until the position is known. `grace`: how long a holder may acknowledge after the
    /// end of its lease, on the leader's clock.
    auto expect(const std::optional<LeaseCensus> &leases, Duration grace) -> void;

    /// Whether reports are missing that may still arrive.
    [[nodiscard]] auto isAwaited() const -> bool;

    /// The highest position of the reports so far: what was acknowledged reaches at least this.
    [[nodiscard]] auto atLeast() const -> Position;

    /// The position; nothing while it isn't known.
    [[nodiscard]] auto known() const -> std::optional<Position>;

private:
    [[nodiscard]] auto isMissing() const -> bool;
    /// Whether a holder that had not reported is not in `leases` any more.
    [[nodiscard]] auto hasLostHolder(const LeaseCensus &leases) const -> bool;
    auto observe(const ObservedPosition &observation) -> void;
    auto settle() -> void;

    std::set<LeaseId> reported;
    std::optional<std::set<LeaseId>> expected; ///< Nothing: not known yet.
    /// When the last lease has ended whose holder doesn't report; nothing if there is none.
    std::optional<TimePoint> unreportedUntil;
    Duration grace{};
    /// By ObservedPosition::after. Positions increase with the time: others add nothing.
    std::map<TimePoint, Position> observations;
    std::optional<Position> givenUpAfter;
    Position highest;
    std::optional<Position> settled;
};

} // namespace auburnrail::detail

#endif
