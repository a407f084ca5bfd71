#ifndef AUBURNRAIL_OPERATORS_LOSSQUERY_H
#define AUBURNRAIL_OPERATORS_LOSSQUERY_H

#include "Invocation.h"

#include <operators/OperatorClient.h>
#include <operators/ProgramHooks.h>
#include <operators/ProgramOutput.h>

#include <string>
#include <vector>

namespace auburnrail::detail {

/// One run of `group loss` or `group accept-loss`, which the leading control member answers.
class LossQuery
{
public:
    /// Whether the invocation is one of these commands.
    [[nodiscard]] static auto takes(const Invocation &invocation) -> bool;

    /// `addresses` are the operators' ports of control members; at least one. The references must
    /// outlive this object.
    LossQuery(const ProgramHooks &hooks, const Invocation &invocation,
              const std::vector<std::string> &addresses);

    [[nodiscard]] auto run() -> ProgramOutput;

private:
    [[nodiscard]] auto show() -> ProgramOutput;
    [[nodiscard]] auto accept() -> ProgramOutput;

    const ProgramHooks &hooks;
    const Invocation &invocation;
    Duration limit;
    OperatorClient client;
};

} // namespace auburnrail::detail

#endif
