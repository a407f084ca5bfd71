#ifndef AUBURNRAIL_CONTROL_CONTROLOPERATORSHOOKS_H
#define AUBURNRAIL_CONTROL_CONTROLOPERATORSHOOKS_H

#include <consensus/NodeStatus.h>

#include <functional>

namespace auburnrail {

/// What the operators' port shows of the consensus log.
struct ControlOperatorsHooks
{
    std::function<auto()->NodeStatus> nodeStatus;
};

} // namespace auburnrail

#endif
