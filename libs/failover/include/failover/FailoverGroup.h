#ifndef AUBURNRAIL_FAILOVER_FAILOVERGROUP_H
#define AUBURNRAIL_FAILOVER_FAILOVERGROUP_H

#include <failover/GroupEndpoint.h>
#include <state/GroupPhase.h>
#include <state/TermEvidence.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// A group as described by the fleet state. `endpoints` contains every member, including
/// unresponsive ones, because majorities are counted over it.
struct FailoverGroup
{
    std::string name;
    std::uint64_t term = 0;
    GroupPhase phase = GroupPhase::Serving;
    std::string primary; ///< Last published primary, also while fencing; empty if there was none.
    /// When the published primary's process started; 0: unknown. See GroupEndpoint::startedAt.
    std::uint64_t primaryStartedAt = 0;
    std::vector<GroupEndpoint> endpoints;
    TermEvidence evidence; ///< Who may have confirmed commits, besides `endpoints`.
    /// Number of replicas that must have a write before the primary acknowledges it; 0 means
    /// that the entries wait for a majority instead.
    std::uint32_t synchronousReplicas = 0;

    /// The endpoint with this name, or null.
    [[nodiscard]] auto find(const std::string &endpoint) const -> const GroupEndpoint *
    {
        const auto found = std::find_if(
            this->endpoints.begin(), this->endpoints.end(),
            [&](const GroupEndpoint &candidate) { return candidate.name == endpoint; });
        return found == this->endpoints.end() ? nullptr : &*found;
    }
};

} // namespace auburnrail

#endif
