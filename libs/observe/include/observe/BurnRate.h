#ifndef AUBURNRAIL_OBSERVE_BURNRATE_H
#define AUBURNRAIL_OBSERVE_BURNRATE_H

#include <string>

namespace auburnrail {

/// How one BurnRule stands. A rate of 1 spends exactly the budget over the objective's window.
struct BurnRate
{
    std::string rule;
    double shortRate = 0;
    double longRate = 0;
    double factor = 0;
    bool burning = false; ///< Both rates have reached the factor.
};

} // namespace auburnrail

#endif
