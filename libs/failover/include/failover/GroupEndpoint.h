#ifndef AUBURNRAIL_FAILOVER_GROUPENDPOINT_H
#define AUBURNRAIL_FAILOVER_GROUPENDPOINT_H

#include <string>

namespace auburnrail {

/// One endpoint of a group.
struct GroupEndpoint
{
    std::string name;
    std::string address;  ///< IP:port
    bool leaving = false; ///< Not to become primary when another can.
};

} // namespace auburnrail

#endif
