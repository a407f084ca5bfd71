#ifndef AUBURNRAIL_CONTROL_ENDPOINTROLESTATUS_H
#define AUBURNRAIL_CONTROL_ENDPOINTROLESTATUS_H

#include <core/Position.h>

#include <cstdint>

namespace auburnrail {

/// What an endpoint says of its role.
struct EndpointRoleStatus
{
    bool isPrimary = false;
    std::uint64_t term = 0; ///< The endpoint's own, which may differ from the group's.
    Position position;
};

} // namespace auburnrail

#endif
