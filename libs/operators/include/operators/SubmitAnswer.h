#ifndef AUBURNRAIL_OPERATORS_SUBMITANSWER_H
#define AUBURNRAIL_OPERATORS_SUBMITANSWER_H

#include <operators/SubmitStatus.h>

#include <state/CommandResult.h>

#include <string>

namespace auburnrail {

/// Answer of a control member to a submitted command.
struct SubmitAnswer
{
    SubmitStatus status = SubmitStatus::NotRun;
    CommandResult result; ///< Filled when Decided.
    bool inForce = false; ///< Every instance that may serve applies it.
    std::string leader;   ///< NotLeader: IP:port of the leader's operators' port, if known.
    std::string message;  ///< For people; filled when not Decided.

    auto operator==(const SubmitAnswer &) const -> bool = default;
};

} // namespace auburnrail

#endif
