#ifndef AUBURNRAIL_LEASE_LEASETABLEHOOKS_H
#define AUBURNRAIL_LEASE_LEASETABLEHOOKS_H

#include <core/Time.h>

#include <functional>

namespace auburnrail {

/// Queries that a LeaseTable makes to its owner; called without the table's mutex held.
struct LeaseTableHooks
{
    /// Whether this member leads and no other can at `now` (ConsensusNode::isLeaderWithQuorum).
    std::function<auto(TimePoint now)->bool> hasQuorum;
};

} // namespace auburnrail

#endif
