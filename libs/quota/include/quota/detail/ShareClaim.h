#ifndef AUBURNRAIL_QUOTA_DETAIL_SHARECLAIM_H
#define AUBURNRAIL_QUOTA_DETAIL_SHARECLAIM_H

#include <core/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace auburnrail::detail {

/// One holder's claim on one organisation. Rates in millitokens per second, bursts in millitokens.
struct ShareClaim
{
    std::string zone;
    std::int64_t reportedRate = 0; ///< As the holder reported, which the answer is compared with.
    std::int64_t reportedBurst = 0;
    std::int64_t usedRate = 0; ///< What of it counts; 0 when the lease had ended already.
    std::int64_t usedBurst = 0;
    std::int64_t grantedRate = 0; ///< Greatest in the answers to the last report.
    std::int64_t grantedBurst = 0;
    std::int64_t targetRate = 0;
    std::int64_t targetBurst = 0;
    double wantedRate = 0;
    bool active = false; ///< The last report named a demand.
    bool chosen = false; ///< Gets part of a burst too small for all.
    std::optional<TimePoint> chosenAt;

    /// Rate and burst.
    [[nodiscard]] auto counted() const -> std::pair<std::int64_t, std::int64_t>
    {
        return {this->countedRate(), this->countedBurst()};
    }

    [[nodiscard]] auto countedRate() const -> std::int64_t
    {
        return std::max(this->usedRate, this->grantedRate);
    }

    [[nodiscard]] auto countedBurst() const -> std::int64_t
    {
        return std::max(this->usedBurst, this->grantedBurst);
    }
};

} // namespace auburnrail::detail

#endif
