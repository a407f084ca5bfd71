#ifndef AUBURNRAIL_QUOTA_SHARELEDGERHOOKS_H
#define AUBURNRAIL_QUOTA_SHARELEDGERHOOKS_H

#include <quota/HolderId.h>

#include <functional>

namespace auburnrail {

/// Effects of a ShareLedger. Called with no mutex held; a hook may be empty.
struct ShareLedgerHooks
{
    /// `grant` would now change a share of `holder` urgently: an answer that is held back for long
    /// polling should be sent.
    std::function<auto(const HolderId &holder)->void> grantReady;
};

} // namespace auburnrail

#endif
