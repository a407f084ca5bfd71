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

    /// A statement with less time left is not sent: its response would be too late, and a write
    /// would be in doubt. Covers a round trip between regions and a short statement.
    static constexpr auto MIN_TIME_LEFT_MS = std::chrono::milliseconds(60);
    /// The same for writes outside a transaction. A client can't repeat a write that is in doubt,
    /// but it can repeat one that was not run. So a write is sent only with enough time for a queue
    /// at the server and for the replica's confirmation.
    static constexpr auto MIN_TIME_LEFT_TO_WRITE_MS = std::chrono::milliseconds(250);

    [[nodiscard]] auto deadline() const -> TimePoint
    {
        return this->arrivedAt + this->policy.statementTimeout;
    }

    [[nodiscard]] auto objectiveEnd() const -> TimePoint
    {
        return this->operationSince + this->policy.latencyObjective;
    }

    /// From this time on the statement is not sent any more.
    [[nodiscard]] auto latestStart() const -> TimePoint
    {
        const auto writesAlone = this->writes() && !this->opens;
        return this->deadline() - (writesAlone ? MIN_TIME_LEFT_TO_WRITE_MS : MIN_TIME_LEFT_MS);
    }

    /// Whether the statement itself changes data. A commit doesn't count as such.
    [[nodiscard]] auto writes() const -> bool
    {
        return this->statement.kind == StatementKind::Write
               || (this->prepared && this->prepared->writes);
    }

    /// Whether the statement contributes to a change of data, or commits one.
    [[nodiscard]] auto changesData() const -> bool
    {
        return this->writes() || this->commitsWrites();
    }

    /// Whether the statement commits a transaction that contains a write.
    [[nodiscard]] auto commitsWrites() const -> bool
    {
        return this->statement.kind == StatementKind::Commit && this->transactionWrote;
    }
};

} // namespace auburnrail

#endif
