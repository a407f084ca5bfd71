#ifndef AUBURNRAIL_CONTROL_ENDPOINTROLEHOOKS_H
#define AUBURNRAIL_CONTROL_ENDPOINTROLEHOOKS_H

#include <control/EndpointRoleStatus.h>
#include <control/OrderAnswer.h>

#include <failover/FenceResponse.h>
#include <failover/GroupEndpoint.h>

#include <core/Position.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Hooks that request an endpoint to change its role. Calls may block for about a second and come
/// from any thread.
struct EndpointRoleHooks
{
    /// Fences the endpoint for the term. Returns its response; nothing when none was received.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term)
                      ->std::optional<FenceResponse>>
        fence;

    /// Requests the endpoint to become primary of the term.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const std::vector<GroupEndpoint> &members)
                      ->OrderAnswer>
        promote;

    /// Optional: what an endpoint that accepted the promotion is by now; nothing when it doesn't
    /// say. When not set, an endpoint that accepted it counts as primary at once.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group)
                      ->std::optional<EndpointRoleStatus>>
        status;

    /// True when the endpoint now replicates from `primary`.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const GroupEndpoint &primary)
                      ->bool>
        follow;

    /// Optional: tells a replica to stop receiving until it is told to follow. Never stops a
    /// primary. Returns the position at which it has stopped; nothing when that isn't confirmed.
    std::function<
        auto(const GroupEndpoint &endpoint, const std::string &group)->std::optional<Position>>
        stopReplication;
};

} // namespace auburnrail

#endif
