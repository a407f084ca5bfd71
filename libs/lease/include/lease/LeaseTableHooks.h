#ifndef AUBURNRAIL_LEASE_LEASETABLEHOOKS_H
#define AUBURNRAIL_LEASE_LEASETABLEHOOKS_H

#include <core/Time.h>

#include <functional>

namespace auburnrail {

/// What a LeaseTable asks of its surroundings; called without its mutex.
struct LeaseTableHooks
{
    /// Whether no other member can lead at `now` (ConsensusNode::isLeaderWithQuorum).
    std::function<auto(TimePoint now)->bool> hasQuorum;
};

} // namespace auburnrail

#endif
