#ifndef AUBURNRAIL_CONTROL_LOSSSERVICEHOOKS_H
#define AUBURNRAIL_CONTROL_LOSSSERVICEHOOKS_H

#include <control/LossDecision.h>

#include <failover/AcceptedLoss.h>
#include <failover/FailoverRecord.h>
#include <failover/PromotionEvidence.h>

#include <core/Time.h>

#include <absl/status/status.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// What a LossService needs of its control member. All must be set.
struct LossServiceHooks
{
    std::function<auto()->TimePoint> now;
    std::function<auto()->bool> isLeading;
    std::function<auto()->std::string> leader; ///< IP:port of its operators' port; or empty.

    /// See the functions of FailoverCoordinator.
    std::function<auto(const std::string &group, TimePoint now)->std::optional<PromotionEvidence>>
        waitingEvidence;
    std::function<auto(const std::string &group)->std::optional<FailoverRecord>> currentRecord;
    std::function<
        auto(const std::string &group, const AcceptedLoss &loss, TimePoint now)->absl::Status>
        acceptLoss;

    std::function<auto(LossDecision decision)->void> decided;
};

} // namespace auburnrail

#endif
