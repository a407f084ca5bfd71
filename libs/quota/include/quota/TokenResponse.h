#ifndef AUBURNRAIL_QUOTA_TOKENRESPONSE_H
#define AUBURNRAIL_QUOTA_TOKENRESPONSE_H

#include <quota/TokenGrant.h>

#include <vector>

namespace auburnrail {

/// The ledger's response to a TokenRequest.
struct TokenResponse
{
    bool granting = false; ///< False when the responder grants nothing now, for example when it
                           ///< does not lead.
    std::vector<TokenGrant> grants; ///< One for each demand of a known organisation.
};

} // namespace auburnrail

#endif
