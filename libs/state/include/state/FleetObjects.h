#ifndef AUBURNRAIL_STATE_FLEETOBJECTS_H
#define AUBURNRAIL_STATE_FLEETOBJECTS_H

#include <state/FleetObject.h>
#include <state/FleetUpdate.h>
#include <state/ObjectTable.h>

#include <core/Revision.h>

#include <absl/status/status.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace auburnrail {

/// The objects of the fleet state at one revision. Copies are cheap, see ObjectTable. An entry
/// holds a copy that is updated by changes; FleetState holds that of a control member.
class FleetObjects
{
public:
    template <typename T>
    [[nodiscard]] auto table() const -> const ObjectTable<T> &
    {
        return std::get<ObjectTable<T>>(this->tables);
    }

    template <typename T>
    [[nodiscard]] auto find(std::string_view name) const -> const T *
    {
        return this->table<T>().find(name);
    }

    /// Copy of the object, if it exists.
    [[nodiscard]] auto object(ObjectKind kind, std::string_view name) const
        -> std::optional<FleetObject>;

    /// Names of the routes of a service.
    [[nodiscard]] auto routesOf(std::string_view service) const -> const std::set<std::string> &;

    /// The route of sessions on a database, or null.
    [[nodiscard]] auto routeOfDatabase(std::string_view database) const -> const Route *;

    /// Names of the endpoints of a group.
    [[nodiscard]] auto endpointsOf(std::string_view group) const -> const std::set<std::string> &;

    /// Whether operators have evacuated the zone.
    [[nodiscard]] auto isEvacuated(std::string_view zone) const -> bool;

    /// Calls `visit` for every object of every kind; the order is the same for equal states.
    auto forEach(const std::function<auto(const FleetObject &)->void> &visit) const -> void;

    [[nodiscard]] auto revision() const -> Revision;

    auto put(FleetObject object) -> void;
    auto erase(ObjectKind kind, std::string_view name) -> void;

    /// The revision never goes down.
    auto raiseRevision(Revision newRevision) -> void;

    /// Applies an update from the leader, skipping changes that this copy already has.
    /// `kFailedPrecondition` with no effect when the update ends before this copy's revision, or
    /// begins after it.
    [[nodiscard]] auto applyChanges(const FleetUpdate &update) -> absl::Status;

    auto operator==(const FleetObjects &) const -> bool = default;

private:
    auto indexRoute(const Route &route) -> void;
    auto unindexRoute(const Route &route) -> void;

    using NameIndex = ObjectTable<std::set<std::string>>;

    std::tuple<ObjectTable<Service>, ObjectTable<Organisation>, ObjectTable<Key>,
               ObjectTable<Route>, ObjectTable<Group>, ObjectTable<Endpoint>,
               ObjectTable<Objective>, ObjectTable<ConfigurationDocument>, ObjectTable<Entry>,
               ObjectTable<Zone>>
        tables;
    NameIndex routesByService;
    NameIndex endpointsByGroup;
    ObjectTable<std::string> routesByDatabase;
    Revision currentRevision = 0;
};

} // namespace auburnrail

#endif
