#ifndef AUBURNRAIL_STATE_SYNCHRONOUSREPLICAS_H
#define AUBURNRAIL_STATE_SYNCHRONOUSREPLICAS_H

#include <state/FleetObjects.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace auburnrail {

/// Number of replicas that must have a write before the group's primary acknowledges it: the
/// highest of the services on it.
inline auto synchronousReplicasOf(const FleetObjects &objects, std::string_view group)
    -> std::uint32_t
{
    auto replicas = std::uint32_t(0);
    objects.table<Service>().forEach([&](const Service &service) {
        if (service.group == group)
            replicas = std::max(replicas, service.synchronousReplicas);
    });
    return replicas;
}

} // namespace auburnrail

#endif
