#ifndef AUBURNRAIL_STATE_ORGANISATION_H
#define AUBURNRAIL_STATE_ORGANISATION_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// A customer, with its limits over the whole fleet.
struct Organisation
{
    std::string name;
    double ratePerSecond = 0; ///< Requests per second, over all instances.
    double burst = 0;         ///< Requests.
    double weight = 1;        ///< Weight in the division of contended resources.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Organisation &) const -> bool = default;
};

} // namespace auburnrail

#endif
