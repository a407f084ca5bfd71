#ifndef AUBURNRAIL_QUOTA_TOKENDEMAND_H
#define AUBURNRAIL_QUOTA_TOKENDEMAND_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Tokens of one organisation that a holder asks the ledger for.
struct TokenDemand
{
    std::string organisation;
    std::uint32_t tokens = 0; ///< One for each waiting request.

    auto operator==(const TokenDemand &) const -> bool = default;
};

} // namespace auburnrail

#endif
