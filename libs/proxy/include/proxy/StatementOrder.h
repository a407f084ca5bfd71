#ifndef AUBURNRAIL_PROXY_STATEMENTORDER_H
#define AUBURNRAIL_PROXY_STATEMENTORDER_H

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

/// A statement that a server has to run, with everything that decides where and how.
struct StatementOrder
{
    ClientStatement statement;
    std::optional<PreparedStatement> prepared; ///< What an Execute statement runs.
    /// Set when the statement opens a transaction on the server first.
    std::optional<TransactionAccess> opens;
    std::string openingId;         ///< Id of the caller's statement that began the transaction.
    bool transactionWrote = false; ///< An earlier statement of the open transaction was a write.
    SessionValues values;
    SessionPolicy policy;
    std::string group;
    std::string organisation;
    double weight = 1;
    std::optional<Position> sessionPosition; ///< Last commit of the session.
    TimePoint arrivedAt;
    TimePoint operationSince; ///< The latency objective counts from here.

    [[nodiscard]] auto deadline() const -> TimePoint
    {
        return this->arrivedAt + this->policy.statementTimeout;
    }

    [[nodiscard]] auto objectiveEnd() const -> TimePoint
    {
        return this->operationSince + this->policy.latencyObjective;
    }

    /// The statement changes data when it runs alone.
    [[nodiscard]] auto writes() const -> bool
    {
        return this->statement.kind == StatementKind::Write
               || (this->prepared && this->prepared->writes);
    }
};

} // namespace auburnrail

#endif
