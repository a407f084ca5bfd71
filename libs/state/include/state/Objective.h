#ifndef AUBURNRAIL_STATE_OBJECTIVE_H
#define AUBURNRAIL_STATE_OBJECTIVE_H

#include <state/ObjectiveKind.h>
#include <state/Selector.h>

#include <core/Labels.h>
#include <core/Revision.h>
#include <core/Time.h>

#include <string>

namespace auburnrail {

/// A service level objective over the objects that a selector matches.
struct Objective
{
    std::string name;
    ObjectiveKind kind = ObjectiveKind::Availability;
    Selector selector; ///< Over labels of services; empty matches all.
    double target = 0; ///< Unit by kind, see ObjectiveKind.
    Duration window{}; ///< Period over which the target is measured.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Objective &) const -> bool = default;
};

} // namespace auburnrail

#endif
