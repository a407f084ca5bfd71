#ifndef AUBURNRAIL_STATE_KEY_H
#define AUBURNRAIL_STATE_KEY_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <string>

namespace auburnrail {

/// A caller's key as it is stored; the secret itself is never stored.
struct Key
{
    std::string id;
    std::string organisation;
    std::string hash; ///< HMAC-SHA256 of the key text under the cluster secret, 64 hex digits.
    bool withdrawn = false; ///< Final; a withdrawn key never works again.
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const Key &) const -> bool = default;
};

} // namespace auburnrail

#endif
