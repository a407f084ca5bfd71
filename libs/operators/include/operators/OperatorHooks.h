#ifndef AUBURNRAIL_OPERATORS_OPERATORHOOKS_H
#define AUBURNRAIL_OPERATORS_OPERATORHOOKS_H

#include <operators/ControlStatus.h>
#include <operators/SubmitAnswer.h>

#include <state/Command.h>
#include <state/FleetObjects.h>

#include <functional>
#include <memory>

namespace auburnrail {

/// What the operators' port of a control member reads and does.
struct OperatorHooks
{
    /// Submits a command and waits, at most for its own time limit, until it is in force.
    std::function<auto(const Command &)->SubmitAnswer> submit;

    std::function<auto()->std::shared_ptr<const FleetObjects>> state;
    std::function<auto()->ControlStatus> status;
};

} // namespace auburnrail

#endif
