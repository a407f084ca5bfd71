#include <state/FleetObjects.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

const auto NO_NAMES = std::set<std::string>();

template <typename Index>
auto addName(Index &index, const std::string &key, const std::string &name) -> void
{
    index.change(key).insert(name);
}

template <typename Index>
auto removeName(Index &index, const std::string &key, const std::string &name) -> void
{
    if (index.find(key) == nullptr)
        return;
    auto &names = index.change(key);
    names.erase(name);
    if (names.empty())
        index.erase(key);
}

/// Calls `visit` with the table of `kind`.
template <typename Tables, typename Visit>
auto withTable(Tables &tables, ObjectKind kind, const Visit &visit) -> void
{
    auto position = std::size_t(0);
    const auto wanted = static_cast<std::size_t>(kind);
    std::apply([&](auto &...table) { ((position++ == wanted ? visit(table) : void()), ...); },
               tables);
}

} // namespace

auto FleetObjects::object(ObjectKind kind, std::string_view name) const
    -> std::optional<FleetObject>
{
    auto result = std::optional<FleetObject>();
    withTable(this->tables, kind, [&](const auto &table) -> void {
        if (const auto *found = table.find(name); found != nullptr)
            result = *found;
    });
    return result;
}

auto FleetObjects::routesOf(std::string_view service) const -> const std::set<std::string> &
{
    const auto *found = this->routesByService.find(service);
    return found == nullptr ? NO_NAMES : *found;
}

auto FleetObjects::routeOfDatabase(std::string_view database) const -> const Route *
{
    const auto *name = this->routesByDatabase.find(database);
    return name == nullptr ? nullptr : this->find<Route>(*name);
}

auto FleetObjects::endpointsOf(std::string_view group) const -> const std::set<std::string> &
{
    const auto *found = this->endpointsByGroup.find(group);
    return found == nullptr ? NO_NAMES : *found;
}

auto FleetObjects::isEvacuated(std::string_view zone) const -> bool
{
    const auto *found = this->find<Zone>(zone);
    return found != nullptr && found->evacuated;
}

auto FleetObjects::forEach(const std::function<auto(const FleetObject &)->void> &visit) const
    -> void
{
    std::apply(
        [&visit](const auto &...table) {
            (table.forEach([&visit](const auto &object) -> void { visit(object); }), ...);
        },
        this->tables);
}

auto FleetObjects::revision() const -> Revision
{
    return this->currentRevision;
}

auto FleetObjects::put(FleetObject object) -> void
{
    this->erase(kindOf(object), objectName(object));
    if (const auto *route = std::get_if<Route>(&object); route != nullptr)
        this->indexRoute(*route);
    if (const auto *endpoint = std::get_if<Endpoint>(&object); endpoint != nullptr)
        addName(this->endpointsByGroup, endpoint->group, endpoint->name);
    std::visit(
        [this](auto &value) -> void {
            using T = std::decay_t<decltype(value)>;
            auto name = objectName(value);
            std::get<ObjectTable<T>>(this->tables).put(std::move(name), std::move(value));
        },
        object);
}

auto FleetObjects::erase(ObjectKind kind, std::string_view name) -> void
{
    const auto ownName = std::string(name);
    if (kind == ObjectKind::Route) {
        if (const auto *route = this->find<Route>(name); route != nullptr)
            this->unindexRoute(*route);
    }
    if (kind == ObjectKind::Endpoint) {
        if (const auto *endpoint = this->find<Endpoint>(name); endpoint != nullptr)
            removeName(this->endpointsByGroup, std::string(endpoint->group), ownName);
    }
    withTable(this->tables, kind, [&](auto &table) -> void { table.erase(ownName); });
}

auto FleetObjects::indexRoute(const Route &route) -> void
{
    addName(this->routesByService, route.service, route.name);
    if (route.sessions)
        this->routesByDatabase.put(route.sessions->database, route.name);
}

auto FleetObjects::unindexRoute(const Route &route) -> void
{
    if (route.sessions) {
        const auto *owner = this->routesByDatabase.find(route.sessions->database);
        if (owner != nullptr && *owner == route.name)
            this->routesByDatabase.erase(route.sessions->database);
    }
    const auto service = route.service;
    const auto name = route.name;
    removeName(this->routesByService, service, name);
}

auto FleetObjects::raiseRevision(Revision newRevision) -> void
{
    this->currentRevision = std::max(this->currentRevision, newRevision);
}

auto FleetObjects::applyChanges(const FleetUpdate &update) -> absl::Status
{
    if (update.revision < this->currentRevision || update.baseRevision > this->currentRevision) {
        return absl::FailedPreconditionError(
            absl::StrCat("an update from revision ", update.baseRevision, " to ", update.revision,
                         " does not fit a copy at revision ", this->currentRevision));
    }
    for (const auto &change : update.changes) {
        if (change.revision <= this->currentRevision)
            continue;
        if (change.object)
            this->put(*change.object);
        else
            this->erase(change.kind, change.name);
    }
    this->raiseRevision(update.revision);
    return absl::OkStatus();
}

} // namespace auburnrail
