#ifndef AUBURNRAIL_PROXY_STATEMENTPLACEMENT_H
#define AUBURNRAIL_PROXY_STATEMENTPLACEMENT_H

#include <proxy/Placement.h>
#include <proxy/PlacementRequest.h>
#include <proxy/PrimaryPositions.h>

#include <request/GroupView.h>
#include <routing/EndpointTable.h>

#include <core/RandomSource.h>

#include <functional>
#include <optional>

namespace auburnrail {

/// Chooses the server for a statement or a transaction. Designed for replicas that lag by up to one
/// second, a load of mostly reads with a maximum staleness, and primaries that are replaced under
/// load. Thread-safe.
class StatementPlacement
{
public:
    /// The tables must outlive this object. `groupView` returns the state of a group as applied by
    /// this entry.
    StatementPlacement(EndpointTable &endpointTable, PrimaryPositions &primaryPositions,
                       std::function<auto(const std::string &group)->GroupView> groupView,
                       RandomSource randomSource);

    /// Returns std::nullopt when no server may run the statement at present.
    /// Whether nothing may be sent to the group's primary, because its zone is evacuated. A
    /// statement that needs it can't be served until an operator or a promotion changes that.
    [[nodiscard]] auto isOutOfService(const std::string &group, TimePoint now) -> bool;

    /// Whether a transaction may go on at the endpoint.
    [[nodiscard]] auto mayContinueAt(const std::string &endpoint, TimePoint now) -> bool;

    [[nodiscard]] auto place(const PlacementRequest &request, TimePoint now)
        -> std::optional<Placement>;

    /// Part of the time since a position was required that must be left after an endpoint's lag, as
    /// the lag varies.
    static constexpr auto LAG_MARGIN_MS = std::chrono::milliseconds(50);

private:
    /// Whether the endpoint has reached the position, as far as can be told from its lag when it
    /// was last heard of. The server checks the position itself, so an error costs a retry only.
    [[nodiscard]] auto isExpectedToHold(const EndpointView &endpoint, const PrimarySample &minimum,
                                        TimePoint now) -> bool;

    [[nodiscard]] auto placeAtPrimary(const PlacementRequest &request, const GroupView &view,
                                      TimePoint now) -> std::optional<Placement>;

    EndpointTable &endpoints;
    PrimaryPositions &positions;
    const std::function<auto(const std::string &group)->GroupView> groupView;
    const RandomSource random;
};

} // namespace auburnrail

#endif
