#ifndef AUBURNRAIL_STATE_OBJECTKIND_H
#define AUBURNRAIL_STATE_OBJECTKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Kinds of objects of the fleet state, in the order of FleetObject's alternatives.
enum class ObjectKind : std::uint8_t {
    Service,
    Organisation,
    Key,
    Route,
    Group,
    Endpoint,
    Objective,
    Document,
    Entry,
    Zone,
};

template <>
inline constexpr auto ENUM_NAMES<ObjectKind> = std::to_array<EnumName<ObjectKind>>({
    {ObjectKind::Service, "service"},
    {ObjectKind::Organisation, "organisation"},
    {ObjectKind::Key, "key"},
    {ObjectKind::Route, "route"},
    {ObjectKind::Group, "group"},
    {ObjectKind::Endpoint, "endpoint"},
    {ObjectKind::Objective, "objective"},
    {ObjectKind::Document, "document"},
    {ObjectKind::Entry, "entry"},
    {ObjectKind::Zone, "zone"},
});

} // namespace auburnrail

#endif
