#ifndef AUBURNRAIL_STATE_CHECKCONFIGURATION_H
#define AUBURNRAIL_STATE_CHECKCONFIGURATION_H

#include <state/ReplaceConfiguration.h>

#include <core/Findings.h>

namespace auburnrail {

/// Every reason why the configuration can't be put in force; empty when it can. The place of a
/// finding is the kind and the name of the object.
[[nodiscard]] auto checkConfiguration(const ReplaceConfiguration &configuration) -> Findings;

} // namespace auburnrail

#endif
