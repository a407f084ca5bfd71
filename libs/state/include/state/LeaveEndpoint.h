#ifndef AUBURNRAIL_STATE_LEAVEENDPOINT_H
#define AUBURNRAIL_STATE_LEAVEENDPOINT_H

#include <string>

namespace auburnrail {

/// Marks an endpoint as leaving. Registering it again clears the mark.
struct LeaveEndpoint
{
    std::string endpoint;

    auto operator==(const LeaveEndpoint &) const -> bool = default;
};

} // namespace auburnrail

#endif
