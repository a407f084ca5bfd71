#ifndef AUBURNRAIL_SESSION_READREQUIREMENTS_H
#define AUBURNRAIL_SESSION_READREQUIREMENTS_H

#include <core/Position.h>
#include <core/Time.h>

#include <optional>

namespace auburnrail {

/// What a read requires of the data it returns.
struct ReadRequirements
{
    std::optional<Position> minimum;      ///< std::nullopt: the position is unknown.
    std::optional<Duration> maxStaleness; ///< Maximum staleness; std::nullopt: no limit.
    bool session = false;                 ///< The caller sent a token, valid or not.
    bool waited = false;                  ///< The read has already waited for a replica once.
};

} // namespace auburnrail

#endif
