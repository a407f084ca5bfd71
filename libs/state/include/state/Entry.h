#ifndef AUBURNRAIL_STATE_ENTRY_H
#define AUBURNRAIL_STATE_ENTRY_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// An entry that may hold shares of rate limits. Control registers it before it grants the first
/// share, so that a new leader knows which entries have to report before it grants shares again.
struct Entry
{
    std::string name; ///< Of the instance.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Entry &) const -> bool = default;
};

} // namespace auburnrail

#endif
