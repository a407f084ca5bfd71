#ifndef AUBURNRAIL_HEARTBEAT_HEARTBEAT_H
#define AUBURNRAIL_HEARTBEAT_HEARTBEAT_H

#include <heartbeat/AcknowledgedReport.h>
#include <heartbeat/PrimaryReport.h>

#include <endpoint/Announcement.h>
#include <observe/BurnContribution.h>
#include <quota/ShareReport.h>

#include <core/Revision.h>
#include <core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// What an entry sends to the control leader to renew its lease. It names only organisations and
/// groups that the entry serves, so its size does not depend on the size of the fleet.
struct Heartbeat
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< Drawn at each start of the entry.
    std::string zone;
    std::string operatorsAddress; ///< IP:port of its operators' port.
    std::string relayAddress; ///< IP:port where it runs statements of other entries; may be empty.
    std::uint64_t peersFingerprint = 0; ///< Of the list of relay peers that it has.
    Revision appliedRevision = 0;
    ShareReport shares;
    std::vector<Announcement> endpoints; ///< Arrivals and changes that the state does not show yet.
    std::vector<PrimaryReport> primaries;
    std::vector<AcknowledgedReport> acknowledged; ///< Of groups whose primary is being replaced.
    std::vector<BurnContribution> burn; ///< What this run of the entry counted; see BurnSender.
    Duration holdLimit{}; ///< Longest time the answer may be held for a newer revision.
};

} // namespace auburnrail

#endif
