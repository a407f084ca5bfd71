#ifndef AUBURNRAIL_SESSION_READNEED_H
#define AUBURNRAIL_SESSION_READNEED_H

#include <core/Position.h>
#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// What a read requires of the data it sees.
struct ReadNeed
{
    std::optional<Position> minimum; ///< Nothing: the position is unknown.
    std::optional<Duration> maxAge;  ///< Stated age; nothing: none stated.
    bool session = false;            ///< The caller sent a token, even one that did not open.
    bool waited = false;             ///< A bounded wait for a replica has been spent.
};

} // namespace auburnrail

#endif
