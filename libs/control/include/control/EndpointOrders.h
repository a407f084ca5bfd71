#ifndef AUBURNRAIL_CONTROL_ENDPOINTORDERS_H
#define AUBURNRAIL_CONTROL_ENDPOINTORDERS_H

#include <failover/FenceResponse.h>
#include <failover/GroupEndpoint.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// How endpoints are ordered to change their role. Calls may block for about a second and come from
/// any thread.
struct EndpointOrders
{
    /// Answer of the endpoint; nothing when none came.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term)
                      ->std::optional<FenceResponse>>
        fence;

    /// True when the endpoint has taken the order to become primary of the term.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const std::vector<GroupEndpoint> &members)
                      ->bool>
        promote;

    /// Optional: whether the endpoint that took the order leads by now. Without it an endpoint that
    /// took the order leads.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group)->bool> isPrimary;

    /// True when the endpoint follows `primary` now.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const GroupEndpoint &primary)
                      ->bool>
        follow;
};

} // namespace auburnrail

#endif
