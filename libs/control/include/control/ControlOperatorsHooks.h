#ifndef AUBURNRAIL_CONTROL_CONTROLOPERATORSHOOKS_H
#define AUBURNRAIL_CONTROL_CONTROLOPERATORSHOOKS_H

#include <consensus/NodeStatus.h>

#include <functional>

namespace auburnrail {

/// Access to the consensus log's status for the operators' port.
struct ControlOperatorsHooks
{
    std::function<auto()->NodeStatus> nodeStatus;
};

} // namespace auburnrail

#endif
