#ifndef AUBURNRAIL_STATE_ENTRY_H
#define AUBURNRAIL_STATE_ENTRY_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// An entry that may hold shares of limits. Control registers it before it lends the first one, so
/// that a new leader knows of whom it has to hear before it lends again.
struct Entry
{
    std::string name; ///< Of the instance.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Entry &) const -> bool = default;
};

} // namespace auburnrail

#endif
