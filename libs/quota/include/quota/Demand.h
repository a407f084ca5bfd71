#ifndef AUBURNRAIL_QUOTA_DEMAND_H
#define AUBURNRAIL_QUOTA_DEMAND_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Load of one organisation as observed by one holder.
struct Demand
{
    std::string organisation;
    double arrivedPerSecond = 0; ///< Requests per second, smoothed over about one second.
    std::uint64_t refused = 0;   ///< Requests without a token since the last report.
    std::uint64_t backlog = 0;   ///< Requests currently waiting for a token.
};

} // namespace auburnrail

#endif
