#ifndef AUBURNRAIL_WIRE_BURNCONVERSION_H
#define AUBURNRAIL_WIRE_BURNCONVERSION_H

#include <Control_types.h>

#include <observe/BurnContribution.h>

namespace auburnrail::detail {

[[nodiscard]] auto toBurnMessage(const BurnContribution &contribution)
    -> thriftgen::BurnContributionMessage;

/// A reason that this version does not know is counted as `InternalError`, so that entries of a
/// later version still report.
[[nodiscard]] auto fromBurnMessage(const thriftgen::BurnContributionMessage &message)
    -> BurnContribution;

} // namespace auburnrail::detail

#endif
