#ifndef AUBURNRAIL_ROUTING_ENDPOINTDESCRIPTION_H
#define AUBURNRAIL_ROUTING_ENDPOINTDESCRIPTION_H

#include <core/Labels.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// An endpoint as the fleet state describes it.
struct EndpointDescription
{
    std::string name; ///< Unique in the fleet.
    std::string group;
    std::string zone;
    std::string address; ///< IP:port
    Labels labels;
    std::uint64_t term = 0; ///< Term of its group.
    bool primary = false;   ///< Primary of its group in that term.
    bool leaving = false;
    bool evacuated = false; ///< Its zone is evacuated.
};

} // namespace auburnrail

#endif
