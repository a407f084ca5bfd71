#ifndef AUBURNRAIL_STATE_CONFIGURATIONREVIEW_H
#define AUBURNRAIL_STATE_CONFIGURATIONREVIEW_H

#include <state/ConfigurationDifference.h>
#include <state/ReplaceConfiguration.h>

#include <core/Findings.h>

#include <vector>

namespace auburnrail {

/// What an operator should know of a configuration before it is sent.
struct ConfigurationReview
{
    Findings errors;         ///< Control refuses the configuration; see checkConfiguration().
    Findings unmatched;      ///< Entries that no caller or statement can ever reach.
    Findings contradictions; ///< Limits that make each other ineffective.
    std::vector<ConfigurationDifference> differences; ///< From the configuration in force.
};

/// Reviews `proposed`. `inForce` may be null: then there are no differences. The place of a finding
/// is the kind and the name of the object.
[[nodiscard]] auto reviewConfiguration(const ReplaceConfiguration &proposed,
                                       const ReplaceConfiguration *inForce) -> ConfigurationReview;

/// Objects of `after` that `before` lacks or has otherwise, and the reverse, by kind and name.
[[nodiscard]] auto differencesBetween(const std::vector<FleetObject> &before,
                                      const std::vector<FleetObject> &after)
    -> std::vector<ConfigurationDifference>;

} // namespace auburnrail

#endif
