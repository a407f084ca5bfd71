#ifndef AUBURNRAIL_STATE_NEWKEY_H
#define AUBURNRAIL_STATE_NEWKEY_H

#include <string>

namespace auburnrail {

/// A newly created key. Its text exists in the system only at this time.
struct NewKey
{
    std::string id;
    std::string text; ///< `ar_<id>_<secret>`; shown once, never logged or stored.
    std::string hash; ///< See Key::hash.

    auto operator==(const NewKey &) const -> bool = default;
};

} // namespace auburnrail

#endif
