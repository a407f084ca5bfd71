#ifndef AUBURNRAIL_QUOTA_SHAREREPORT_H
#define AUBURNRAIL_QUOTA_SHAREREPORT_H

#include <quota/Demand.h>
#include <quota/HolderId.h>
#include <quota/Share.h>

#include <core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// The rate-limit part of a heartbeat. It lists only organisations that the holder serves.
///
/// A holder applies only the grant for its latest report. A report with sequence n therefore proves
/// that `heldShares` is all that the holder uses and that no grant for an earlier report can still
/// take effect, even if the network delays or duplicates it.
struct ShareReport
{
    HolderId holder;
    std::string zone;
    std::uint64_t sequence = 0; ///< Increases with each report of the holder; starts at 1.
    std::vector<Demand> demands;
    std::vector<Share> heldShares; ///< Every share in use when the report was made.
    /// For how long the holder has certainly admitted nothing, on its own clock: since its first
    /// report; 0 once it has received a share or asked for tokens.
    Duration unusedFor{};
    std::uint64_t leadership = 0; ///< Newest from which the holder received a grant; 0 before any.
};

} // namespace auburnrail

#endif
