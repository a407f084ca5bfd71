#ifndef AUBURNRAIL_QUOTA_DEMAND_H
#define AUBURNRAIL_QUOTA_DEMAND_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// What one holder observed of one organisation's requests.
struct Demand
{
    std::string organisation;
    double arrivedPerSecond = 0; ///< Requests per second, smoothed over about one second.
    std::uint64_t refused = 0;   ///< Requests that found no token since the last report.
    std::uint64_t backlog = 0;   ///< Requests that wait for a token now.
};

} // namespace auburnrail

#endif
