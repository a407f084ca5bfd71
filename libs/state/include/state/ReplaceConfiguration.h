#ifndef AUBURNRAIL_STATE_REPLACECONFIGURATION_H
#define AUBURNRAIL_STATE_REPLACECONFIGURATION_H

#include <state/ConfigurationDocument.h>
#include <state/FleetObject.h>

#include <vector>

namespace auburnrail {

/// Puts a whole configuration in force in one step: objects of the previous document that are not
/// in `objects` are deleted, and all in `objects` are stored. A document whose version is not
/// higher than the one in force changes nothing and counts as applied.
struct ReplaceConfiguration
{
    ConfigurationDocument document;
    std::vector<FleetObject> objects; ///< Services, organisations, keys and routes.

    auto operator==(const ReplaceConfiguration &) const -> bool = default;
};

} // namespace auburnrail

#endif
