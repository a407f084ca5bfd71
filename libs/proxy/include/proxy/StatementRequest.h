#ifndef AUBURNRAIL_PROXY_STATEMENTREQUEST_H
#define AUBURNRAIL_PROXY_STATEMENTREQUEST_H

#include <proxy/ClientStatement.h>
#include <proxy/PreparedStatement.h>
#include <proxy/SessionValues.h>
#include <proxy/TransactionAccess.h>

#include <state/SessionPolicy.h>

#include <core/Position.h>
#include <core/Time.h>

#include <optional>
#include <string>

namespace auburnrail {

/// A statement to be run on a server, with everything that determines where and how it runs.
struct StatementRequest
{
    ClientStatement statement;
    std::optional<PreparedStatement> prepared; ///< Run by an Execute statement.
    /// Set when a transaction must be opened on the server before the statement.
    std::optional<TransactionAccess> opens;
    std::string openingId;         ///< Id of the client's statement that began the transaction.
    bool transactionWrote = false; ///< The open transaction already contains a write.
    SessionValues values;
    SessionPolicy policy;
    std::string group;
    std::string organisation;
    double weight = 1;
    std::optional<Position> sessionPosition; ///< Position of the session's last commit.
    TimePoint arrivedAt;
    TimePoint operationSince; ///< Start of the time to which the latency objective applies.

    [[nodiscard]] auto deadline() const -> TimePoint
    {
        return this->arrivedAt + this->policy.statementTimeout;
    }

    [[nodiscard]] auto objectiveEnd() const -> TimePoint
    {
        return this->operationSince + this->policy.latencyObjective;
    }

    /// Whether the statement itself changes data. A commit doesn't count as such.
    [[nodiscard]] auto writes() const -> bool
    {
        return this->statement.kind == StatementKind::Write
               || (this->prepared && this->prepared->writes);
    }
};

} // namespace auburnrail

#endif
