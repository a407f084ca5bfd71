#ifndef AUBURNRAIL_QUOTA_SHARE_H
#define AUBURNRAIL_QUOTA_SHARE_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Part of an organisation's limits that one holder may use. Amounts are integers, so that sums are
/// exact.
struct Share
{
    std::string organisation;
    std::int64_t rate = 0;  ///< Millitokens per second; a request costs 1000 millitokens.
    std::int64_t burst = 0; ///< Capacity in millitokens.
    /// Millitokens that the ledger hands over with a grant; 0 in reports.
    std::int64_t tokens = 0;

    auto operator==(const Share &) const -> bool = default;
};

} // namespace auburnrail

#endif
