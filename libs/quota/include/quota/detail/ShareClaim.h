#ifndef AUBURNRAIL_QUOTA_DETAIL_SHARECLAIM_H
#define AUBURNRAIL_QUOTA_DETAIL_SHARECLAIM_H

#include <core/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace auburnrail::detail {

/// One holder's claim on the limits of one organisation. Rates are in millitokens per second,
/// bursts in millitokens.
struct ShareClaim
{
    std::string zone;
    std::int64_t reportedRate =
        0; ///< Share in the last report; a grant lists only differences from it.
    std::int64_t reportedBurst = 0;
    std::int64_t usedRate = 0; ///< Reported share that counts; 0 if the lease had already ended.
    std::int64_t usedBurst = 0;
    std::int64_t grantedRate = 0; ///< Greatest grant made in response to the last report.
    std::int64_t grantedBurst = 0;
    std::int64_t targetRate = 0;
    std::int64_t targetBurst = 0;
    double demandRate = 0;
    bool active = false; ///< The last report included a demand.

    /// Counted rate and burst.
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
