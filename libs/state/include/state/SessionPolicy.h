#ifndef AUBURNRAIL_STATE_SESSIONPOLICY_H
#define AUBURNRAIL_STATE_SESSIONPOLICY_H

#include <state/ReadConsistency.h>

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// Rules that a route sets for sessions on a database.
struct SessionPolicy
{
    std::string database; ///< Name by which sessions ask for the route; unique among routes.
    ReadConsistency consistency = ReadConsistency::Primary;
    Duration maxStaleness{};         ///< Not used by ReadConsistency::Primary.
    Duration statementTimeout{};     ///< From the arrival of a statement to its response.
    Duration latencyObjective{};     ///< For a whole operation.
    Duration transactionIdleLimit{}; ///< A transaction idle for longer may be rolled back.
    std::uint32_t priority = 0;      ///< 0 is served first.
    std::uint32_t maxAttempts = 1;   ///< Endpoints that a repeatable statement may be sent to.

    auto operator==(const SessionPolicy &) const -> bool = default;
};

} // namespace auburnrail

#endif
