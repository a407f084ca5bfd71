#ifndef AUBURNRAIL_FAILOVER_FAILOVERGROUP_H
#define AUBURNRAIL_FAILOVER_FAILOVERGROUP_H

#include <failover/GroupEndpoint.h>
#include <state/GroupPhase.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// What the fleet state says of a group. `endpoints` holds every member, silent ones included,
/// because majorities are counted over it.
struct FailoverGroup
{
    std::string name;
    std::uint64_t term = 0;
    GroupPhase phase = GroupPhase::Serving;
    std::string primary; ///< Last published primary; kept while fencing. Empty: there was none.
    std::vector<GroupEndpoint> endpoints;
    /// Replicas that hold a write before the primary acknowledges it; 0: the entries wait for a
    /// majority instead.
    std::uint32_t synchronousReplicas = 0;
};

} // namespace auburnrail

#endif
