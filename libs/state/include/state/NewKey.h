#ifndef AUBURNRAIL_STATE_NEWKEY_H
#define AUBURNRAIL_STATE_NEWKEY_H

#include <string>

namespace auburnrail {

/// A key at its creation, the only time its text exists in the system.
struct NewKey
{
    std::string id;
    std::string text; ///< `ar_<id>_<secret>`; shown once, never logged or stored.
    std::string hash; ///< See Key::hash.

    auto operator==(const NewKey &) const -> bool = default;
};

} // namespace auburnrail

#endif
