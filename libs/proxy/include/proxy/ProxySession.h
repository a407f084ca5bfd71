#ifndef AUBURNRAIL_PROXY_PROXYSESSION_H
#define AUBURNRAIL_PROXY_PROXYSESSION_H

#include <proxy/ClientStatement.h>
#include <proxy/PreparedStatement.h>
#include <proxy/ProxySessionHooks.h>
#include <proxy/SessionOpening.h>
#include <proxy/SessionState.h>
#include <proxy/SessionTransaction.h>
#include <proxy/SessionValues.h>
#include <proxy/StatementResult.h>

#include <state/AuthoriseSession.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail {

/// One caller's session: its values, prepared statements and transaction. Statements run one at a
/// time in the order of arrival. Statements that only change the session are answered here; the
/// others are brought to a server by a StatementRun. A transaction gets its server with its first
/// statement and keeps that connection until it ends.
///
/// Thread rule: created and called on the executor of its hooks.
class ProxySession : public std::enable_shared_from_this<ProxySession>
{
public:
    /// Statements of one caller that wait for their turn; a caller that sends more is cut off.
    static constexpr auto MAX_WAITING = std::size_t(64);

    /// Wait of an opening for the entry's lease; common clients give up after 2 s.
    static constexpr auto OPENING_WAIT_MS = std::chrono::milliseconds(1500);

    ProxySession(ProxySessionHooks sessionHooks, std::string clusterSecret);

    auto open(const SessionOpening &opening) -> void;
    auto take(ClientStatement statement) -> void;

    /// The caller sent bytes that are no message: the session ends.
    auto refuseInput(const std::string &reason) -> void;

    /// The caller's connection is gone, or it said that it leaves.
    auto callerLeft() -> void;

    /// Ends the session as soon as no statement and no transaction is open.
    auto drain() -> void;

    /// Ends the session after the statement under way; an open transaction is rolled back.
    auto endNow() -> void;

    [[nodiscard]] auto isOpen() const -> bool;

    /// A statement or a transaction is open.
    [[nodiscard]] auto isBusy() const -> bool;

private:
    auto openBefore(const SessionOpening &opening, TimePoint deadline) -> void;
    auto refuseOpening(const StatementFailure &failure) -> void;
    auto next() -> void;
    auto run(const ClientStatement &statement) -> void;
    auto runLocal(const ClientStatement &statement) -> void;
    auto setValue(const ClientStatement &statement) -> void;
    auto prepare(const ClientStatement &statement) -> void;
    auto deallocate(const ClientStatement &statement) -> void;
    auto begin(const ClientStatement &statement) -> void;
    auto rollBack() -> void;
    auto commit(const ClientStatement &statement) -> void;
    auto forward(const ClientStatement &statement) -> void;
    auto runSingle(const ClientStatement &statement) -> void;
    auto runInTransaction(const ClientStatement &statement) -> void;
    auto finished(const StatementOrder &order, StatementResult result) -> void;
    auto finishedInTransaction(const StatementOrder &order, StatementResult &result) -> void;

    /// Checks caller and route for a new operation and takes a token; then calls `admitted`.
    auto beginOperation(const ClientStatement &statement,
                        const std::function<auto(const OperationAuthorisation &)->void> &admitted)
        -> void;

    [[nodiscard]] auto makeOrder(const ClientStatement &statement) const -> StatementOrder;
    [[nodiscard]] auto findPrepared(const ClientStatement &statement) const
        -> std::optional<PreparedStatement>;
    auto answer(StatementAnswer value) -> void;
    auto answerFailure(StatementError error, std::string detail) -> void;
    auto failTransaction() -> void;
    auto endTransaction() -> void;
    auto restartIdleTimer() -> void;
    auto stopIdleTimer() -> void;
    auto transactionIdle() -> void;
    auto end() -> void;
    auto report(StatementReport account) -> void;

    const ProxySessionHooks hooks;
    const std::string secret;
    std::string database;
    std::optional<std::string> keyId; ///< Nothing: the caller has no valid key (open routes).
    SessionValues values;
    std::map<std::string, PreparedStatement> prepared;
    std::optional<Position> lastCommit;
    SessionState state = SessionState::Idle;
    std::optional<SessionTransaction> transaction;
    std::deque<ClientStatement> waiting;
    std::string runningId;
    std::string runningOrganisation;
    StatementKind runningKind = StatementKind::Malformed;
    TimePoint runningSince;
    TimePoint operationSince;
    /// Set when the opening had to wait, which the caller counts as part of its first operation.
    std::optional<TimePoint> openingSince;
    TimerId idleTimer = 0;
    bool awaitsLease = false; ///< The opening waits for the entry's lease.
    bool opened = false;
    bool running = false;
    bool draining = false;
    bool endsAfterStatement = false;
    bool ended = false;
};

} // namespace auburnrail

#endif
