#ifndef AUBURNRAIL_SESSION_SESSIONGROUP_H
#define AUBURNRAIL_SESSION_SESSIONGROUP_H

#include <core/Position.h>

#include <string>

namespace auburnrail {

/// Highest position that a session has seen in one group.
struct SessionGroup
{
    std::string group;
    Position position;
};

} // namespace auburnrail

#endif
