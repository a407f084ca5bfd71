#ifndef AUBURNRAIL_QUOTA_SHARELEDGERHOOKS_H
#define AUBURNRAIL_QUOTA_SHARELEDGERHOOKS_H

#include <quota/HolderId.h>
#include <quota/ShareGrantingStart.h>

#include <functional>

namespace auburnrail {

/// Notifications of a ShareLedger. Called with no mutex held; a hook may be empty.
struct ShareLedgerHooks
{
    /// `grant` would now make an urgent change to a share of `holder`: send the response to it that
    /// is held back for long polling.
    std::function<auto(const HolderId &holder)->void> grantReady;

    /// The ledger has begun to grant under the current leadership.
    std::function<auto(const ShareGrantingStart &start)->void> grantingStarted;
};

} // namespace auburnrail

#endif
