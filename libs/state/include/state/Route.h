#ifndef AUBURNRAIL_STATE_ROUTE_H
#define AUBURNRAIL_STATE_ROUTE_H

#include <state/Selector.h>
#include <state/SessionPolicy.h>

#include <core/Labels.h>
#include <core/Revision.h>

#include <optional>
#include <string>

namespace auburnrail {

/// Opens a service to the organisations that a selector matches, or to everyone.
struct Route
{
    std::string name;
    std::string service;
    Selector selector;          ///< Over labels of organisations; unused on an open route.
    bool open = false;          ///< Permits callers without a key.
    bool isolatedReads = false; ///< Reads with a maximum staleness need no lease.
    /// Policy of sessions on this route; nothing when the route takes single requests only.
    std::optional<SessionPolicy> sessions;
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Route &) const -> bool = default;
};

} // namespace auburnrail

#endif
