#ifndef AUBURNRAIL_QUOTA_TESTS_SHARESTEP_H
#define AUBURNRAIL_QUOTA_TESTS_SHARESTEP_H

#include "ShareEvent.h"

#include <ostream>

namespace auburnrail {

/// An event of a ShareSimulation, with the holder that it concerns.
struct ShareStep
{
    ShareEvent event = ShareEvent::Pause;
    int holder = 0;
    int amount = 0;
};

/// Prints a step of a counterexample as it is written in a test.
inline auto showValue(const ShareStep &step, std::ostream &out) -> void
{
    out << "{ShareEvent::" << nameOf(step.event) << ", " << step.holder << ", " << step.amount
        << "}";
}

} // namespace auburnrail

#endif
