#ifndef AUBURNRAIL_QUOTA_TOKENFORECAST_H
#define AUBURNRAIL_QUOTA_TOKENFORECAST_H

#include <core/Time.h>

namespace auburnrail {

/// When the ledger expects to have tokens for the requests that wait at a holder.
struct TokenForecast
{
    Duration first{};    ///< Time until the first token.
    Duration interval{}; ///< Time between further ones.
};

} // namespace auburnrail

#endif
