#ifndef AUBURNRAIL_CONTROL_DEPARTUREHANDOVERHOOKS_H
#define AUBURNRAIL_CONTROL_DEPARTUREHANDOVERHOOKS_H

#include <control/DepartureRecord.h>
#include <control/EndpointRoleStatus.h>

#include <failover/FailoverGroup.h>
#include <failover/GroupEndpoint.h>

#include <core/Position.h>
#include <core/Time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// What DepartureHandover needs. Called with no mutex held; `done` is called once, from any thread.
struct DepartureHandoverHooks
{
    /// The group in the fleet state, if it exists; an endpoint is `leaving` only if it has
    /// announced that itself.
    std::function<auto(const std::string &group)->std::optional<FailoverGroup>> group;

    /// Whether a failover or a planned promotion of the group is in progress.
    std::function<auto(const std::string &group)->bool> isInFailover;

    /// Asks an endpoint for its role and position. Not set: endpoints don't tell.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group,
                       std::function<auto(std::optional<EndpointRoleStatus>, TimePoint)->void> done)
                      ->void>
        inspect;

    /// Tells a replica to stop receiving; `done` gets the position at which it has. Not set: it
    /// can't be told.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group,
                       std::function<auto(std::optional<Position>, TimePoint)->void> done)
                      ->void>
        stopReplication;

    /// Tells a replica to receive from the primary; `done` gets whether it does.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const GroupEndpoint &primary,
                       std::function<auto(bool, TimePoint)->void> done)
                      ->void>
        follow;

    /// A departure may be acknowledged.
    std::function<auto(const DepartureRecord &record)->void> ended;
};

} // namespace auburnrail

#endif
