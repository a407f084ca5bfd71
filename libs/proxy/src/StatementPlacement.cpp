#include <proxy/StatementPlacement.h>

#include <algorithm>
#include <compare>

namespace auburnrail {

StatementPlacement::StatementPlacement(
    EndpointTable &endpointTable, PrimaryPositions &primaryPositions,
    std::function<auto(const std::string &group)->GroupView> groupView, RandomSource randomSource)
    : endpoints(endpointTable)
    , positions(primaryPositions)
    , groupView(std::move(groupView))
    , random(std::move(randomSource))
{
}

auto StatementPlacement::place(const PlacementRequest &request, TimePoint now)
    -> std::optional<Placement>
{
    const auto view = this->groupView(request.group);
    if (request.needsPrimary || request.consistency == ReadConsistency::Primary)
        return this->placeAtPrimary(request, view, now);
    // `now` is later than the arrival of the read, so the position covers more than required.
    auto minimum = this->positions.required(request.group, request.maxStaleness, now);
    // Without a recent position of the primary, only the primary itself is certainly fresh enough.
    if (!minimum)
        return this->placeAtPrimary(request, view, now);
    if (request.consistency == ReadConsistency::ReadYourWrites && request.sessionPosition
        && std::is_gt(*request.sessionPosition <=> minimum->position)) {
        const auto committedAt = this->positions.reachedAt(request.group, *request.sessionPosition);
        minimum = PrimarySample{.sentAt = committedAt.value_or(now),
                                .position = *request.sessionPosition};
    }
    auto views = this->endpoints.eligible(
        EndpointCriteria{.group = request.group, .except = request.except, .ignoreLimit = true},
        now);
    std::erase_if(views, [&](const EndpointView &replica) {
        return !this->isExpectedToHold(replica, *minimum, now);
    });
    const auto chosen = this->endpoints.chooseAmong(std::move(views), this->random());
    if (!chosen)
        return this->placeAtPrimary(request, view, now);
    const auto isPrimary = view.serving && chosen->name == view.primary;
    return Placement{.endpoint = chosen->name,
                     .isPrimary = isPrimary,
                     .term = view.term,
                     .minimumPosition =
                         isPrimary ? std::nullopt : std::optional(minimum->position)};
}

auto StatementPlacement::isOutOfService(const std::string &group, TimePoint now) -> bool
{
    const auto view = this->groupView(group);
    if (!view.serving)
        return false; // A promotion is under way.
    const auto primary = this->endpoints.find(view.primary, now);
    return primary && primary->evacuatedAt
           && now - *primary->evacuatedAt >= EndpointTable::EVACUATED_PRIMARY_MS;
}

auto StatementPlacement::mayContinueAt(const std::string &endpoint, TimePoint now) -> bool
{
    const auto view = this->endpoints.find(endpoint, now);
    return !view || !view->evacuatedAt
           || now - *view->evacuatedAt < EndpointTable::EVACUATED_TRANSACTION_MS;
}

auto StatementPlacement::isExpectedToHold(const EndpointView &endpoint,
                                          const PrimarySample &minimum, TimePoint now) -> bool
{
    if (endpoint.position >= minimum.position)
        return true;
    const auto caughtUpTo = this->positions.reachedAt(endpoint.group, endpoint.position);
    if (!endpoint.observedAt || !caughtUpTo)
        return false;
    const auto lag = std::max(*endpoint.observedAt - *caughtUpTo, Duration::zero());
    return now - lag - LAG_MARGIN_MS >= minimum.sentAt;
}

auto StatementPlacement::placeAtPrimary(const PlacementRequest &request, const GroupView &view,
                                        TimePoint now) -> std::optional<Placement>
{
    if (!view.serving)
        return std::nullopt;
    const auto primary = this->endpoints.choose(EndpointCriteria{.group = request.group,
                                                                 .role = EndpointRole::Primary,
                                                                 .ignoreLimit = true},
                                                this->random(), now);
    if (!primary || primary->name != view.primary)
        return std::nullopt;
    return Placement{.endpoint = primary->name, .isPrimary = true, .term = view.term};
}

} // namespace auburnrail
