#ifndef AUBURNRAIL_QUOTA_DETAIL_LEDGERNOTICES_H
#define AUBURNRAIL_QUOTA_DETAIL_LEDGERNOTICES_H

#include <quota/HolderId.h>
#include <quota/ShareGrantingStart.h>

#include <optional>
#include <set>

namespace auburnrail::detail {

/// What a ShareLedger passes to its hooks once it has released its mutex.
struct LedgerNotices
{
    std::set<HolderId> ready; ///< Holders whose share a grant would change urgently.
    std::optional<ShareGrantingStart> started;
};

} // namespace auburnrail::detail

#endif
