#ifndef AUBURNRAIL_SESSION_READCANDIDATE_H
#define AUBURNRAIL_SESSION_READCANDIDATE_H

#include <core/Position.h>
#include <core/Time.h>

#include <optional>
#include <string>

namespace auburnrail {

/// An eligible replica, as planRead() considers it.
struct ReadCandidate
{
    std::string endpoint;
    Position position;
    std::optional<TimePoint> dataTime; ///< Lower bound of the data's age: it is at least this new.
};

} // namespace auburnrail

#endif
