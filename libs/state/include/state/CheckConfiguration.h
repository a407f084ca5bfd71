#ifndef AUBURNRAIL_STATE_CHECKCONFIGURATION_H
#define AUBURNRAIL_STATE_CHECKCONFIGURATION_H

#include <state/ReplaceConfiguration.h>

#include <core/Findings.h>

namespace auburnrail {

/// All errors that prevent the configuration from being put in force; empty when it is valid. The
/// place of a finding is the kind and the name of the object.
[[nodiscard]] auto checkConfiguration(const ReplaceConfiguration &configuration) -> Findings;

} // namespace auburnrail

#endif
