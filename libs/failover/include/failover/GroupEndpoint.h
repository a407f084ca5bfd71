#ifndef AUBURNRAIL_FAILOVER_GROUPENDPOINT_H
#define AUBURNRAIL_FAILOVER_GROUPENDPOINT_H

#include <string>

namespace auburnrail {

/// One endpoint of a group.
struct GroupEndpoint
{
    std::string name;
    std::string address; ///< IP:port
};

} // namespace auburnrail

#endif
