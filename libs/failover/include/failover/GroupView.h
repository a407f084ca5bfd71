#ifndef AUBURNRAIL_FAILOVER_GROUPVIEW_H
#define AUBURNRAIL_FAILOVER_GROUPVIEW_H

#include <failover/GroupEndpoint.h>
#include <failover/GroupPhase.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// What the fleet state says of a group. `endpoints` holds every member, silent ones included,
/// because majorities are counted over it.
struct GroupView
{
    std::string name;
    std::uint64_t term = 0;
    GroupPhase phase = GroupPhase::Serving;
    std::string primary; ///< Last published primary; kept while fencing. Empty: there was none.
    std::vector<GroupEndpoint> endpoints;
};

} // namespace auburnrail

#endif
