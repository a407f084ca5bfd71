#ifndef AUBURNRAIL_QUOTA_SHARELEDGERACTIVITY_H
#define AUBURNRAIL_QUOTA_SHARELEDGERACTIVITY_H

#include <cstdint>

namespace auburnrail {

/// Work that a ShareLedger has done since it was created.
struct ShareLedgerActivity
{
    std::uint64_t allocations = 0;   ///< Times that the limits of one organisation were divided.
    std::uint64_t claims = 0;        ///< Claims that these allocations went through.
    std::uint64_t notifications = 0; ///< Times that a held response was to be sent early.
};

} // namespace auburnrail

#endif
