#ifndef AUBURNRAIL_QUOTA_TOKENGRANT_H
#define AUBURNRAIL_QUOTA_TOKENGRANT_H

#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// Tokens of one organisation that the ledger has granted.
struct TokenGrant
{
    std::string organisation;
    std::uint32_t tokens = 0;

    /// When the first token that was not granted is expected, counted from the response; nothing
    /// when everything was granted or no token can be foreseen.
    std::optional<Duration> wait;
    Duration interval{}; ///< Expected time between further tokens.
};

} // namespace auburnrail

#endif
