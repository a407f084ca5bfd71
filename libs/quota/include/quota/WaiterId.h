#ifndef AUBURNRAIL_QUOTA_WAITERID_H
#define AUBURNRAIL_QUOTA_WAITERID_H

#include <cstdint>

namespace auburnrail {

/// Identifies a waiter of one FairQueue; chosen by the caller, unique while it waits.
using WaiterId = std::uint64_t;

} // namespace auburnrail

#endif
