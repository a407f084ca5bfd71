#ifndef AUBURNRAIL_QUOTA_SHAREREPORT_H
#define AUBURNRAIL_QUOTA_SHAREREPORT_H

#include <quota/Demand.h>
#include <quota/HolderId.h>
#include <quota/Share.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// The quota part of a heartbeat. It names only organisations that the holder serves.
///
/// A holder adopts only the answer to its latest report. A report with sequence n therefore proves
/// that `heldShares` is all the holder uses and that no answer to an earlier report can still take
/// effect, whatever the network does with it.
struct ShareReport
{
    HolderId holder;
    std::string zone;
    std::uint64_t sequence = 0; ///< Grows with each report of the holder; starts at 1.
    std::vector<Demand> demands;
    std::vector<Share> heldShares; ///< Every share in use when the report was made.
    std::uint64_t leadership = 0;  ///< Newest one that answered the holder; 0 before any did.
};

} // namespace auburnrail

#endif
