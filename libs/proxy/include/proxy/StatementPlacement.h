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

/// Chooses the server for a statement or a transaction. Load pattern: replicas that lag by up to a
/// second while most statements are reads of stated age; primaries that are replaced under load.
/// Safe from any thread.
class StatementPlacement
{
public:
    /// The tables must outlive this object. `group` is the group's state as this entry applied it.
    StatementPlacement(EndpointTable &endpointTable, PrimaryPositions &primaryPositions,
                       std::function<auto(const std::string &group)->GroupView> groupView,
                       RandomSource randomSource);

    /// Nothing when no server may take it now.
    [[nodiscard]] auto place(const PlacementRequest &request, TimePoint now)
        -> std::optional<Placement>;

private:
    [[nodiscard]] auto placeAtPrimary(const PlacementRequest &request, const GroupView &view,
                                      TimePoint now) -> std::optional<Placement>;

    EndpointTable &endpoints;
    PrimaryPositions &positions;
    const std::function<auto(const std::string &group)->GroupView> groupView;
    const RandomSource random;
};

} // namespace auburnrail

#endif
