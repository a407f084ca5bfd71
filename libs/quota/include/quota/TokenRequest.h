#ifndef AUBURNRAIL_QUOTA_TOKENREQUEST_H
#define AUBURNRAIL_QUOTA_TOKENREQUEST_H

#include <quota/HolderId.h>
#include <quota/TokenDemand.h>

#include <vector>

namespace auburnrail {

/// Asks the ledger for single tokens, for requests that the holder's shares don't admit.
struct TokenRequest
{
    HolderId holder;
    std::vector<TokenDemand> demands;
};

} // namespace auburnrail

#endif
