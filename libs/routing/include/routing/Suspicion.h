#ifndef AUBURNRAIL_ROUTING_SUSPICION_H
#define AUBURNRAIL_ROUTING_SUSPICION_H

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// A primary that this entry suspects to have failed because it cannot reach it.
struct Suspicion
{
    std::string group;
    std::uint64_t term = 0;
    std::string endpoint;
    TimePoint since; ///< First failed exchange after the last response.
};

} // namespace auburnrail

#endif
