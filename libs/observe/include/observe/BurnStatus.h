#ifndef AUBURNRAIL_OBSERVE_BURNSTATUS_H
#define AUBURNRAIL_OBSERVE_BURNSTATUS_H

#include <observe/BurnCount.h>
#include <observe/BurnRate.h>
#include <observe/BurnSpender.h>
#include <state/ObjectiveKind.h>

#include <string>
#include <vector>

namespace auburnrail {

/// How one objective stands.
struct BurnStatus
{
    std::string objective;
    ObjectiveKind kind = ObjectiveKind::Availability;
    double target = 0;
    BurnCount count;            ///< Over the objective's window.
    double remainingBudget = 1; ///< Part of the error budget that is left; negative when overspent.
    std::vector<BurnRate> rates;
    std::vector<BurnSpender> spenders; ///< The greatest first, at most ten.
};

} // namespace auburnrail

#endif
