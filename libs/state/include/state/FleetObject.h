#ifndef AUBURNRAIL_STATE_FLEETOBJECT_H
#define AUBURNRAIL_STATE_FLEETOBJECT_H

#include <state/ConfigurationDocument.h>
#include <state/Endpoint.h>
#include <state/Entry.h>
#include <state/Group.h>
#include <state/Key.h>
#include <state/ObjectKind.h>
#include <state/Objective.h>
#include <state/Organisation.h>
#include <state/Route.h>
#include <state/Service.h>
#include <state/Zone.h>

#include <string>
#include <variant>

namespace auburnrail {

/// One object of the fleet state. The alternatives are in the order of ObjectKind.
using FleetObject = std::variant<Service, Organisation, Key, Route, Group, Endpoint, Objective,
                                 ConfigurationDocument, Entry, Zone>;

[[nodiscard]] inline auto kindOf(const FleetObject &object) -> ObjectKind
{
    return static_cast<ObjectKind>(object.index());
}

template <typename T>
[[nodiscard]] auto objectName(const T &object) -> const std::string &
{
    return object.name;
}

[[nodiscard]] inline auto objectName(const Key &object) -> const std::string &
{
    return object.id;
}

[[nodiscard]] inline auto objectName(const FleetObject &object) -> const std::string &
{
    return std::visit([](const auto &value) -> const std::string & { return objectName(value); },
                      object);
}

} // namespace auburnrail

#endif
