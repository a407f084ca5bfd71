#ifndef AUBURNRAIL_OPERATORS_LEADERORDER_H
#define AUBURNRAIL_OPERATORS_LEADERORDER_H

#include "LeaderAnswer.h"

#include <operators/ClientHooks.h>
#include <operators/OperatorClient.h>

#include <core/Time.h>

#include <string>

namespace auburnrail::detail {

/// Sends a POST request to the member that leads, once: a second one could follow a completed
/// first one.
[[nodiscard]] auto orderLeader(const ClientHooks &hooks, OperatorClient &client,
                               const std::string &target, std::string body, Duration limit)
    -> LeaderAnswer;

} // namespace auburnrail::detail

#endif
