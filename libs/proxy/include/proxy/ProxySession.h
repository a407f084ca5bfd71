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

/// The session of one client: its values, prepared statements and transaction. Statements run one
/// at a time in the order of arrival. Statements that only change the session are handled here; the
/// others are run on a server by a StatementRun. A transaction is assigned a server with its first
/// statement and keeps that connection until it ends.
///
/// Not thread-safe: must be created and called on the executor of its hooks.
class ProxySession : public std::enable_shared_from_this<ProxySession>
{
public:
    /// Maximum number of queued statements. The session of a client that sends more is ended.
    static constexpr auto MAX_QUEUED = std::size_t(64);

    /// Greatest size of a session's values and prepared statements, names included. More than one
    /// message of the greatest length, so that only the sum of many is refused.
    static constexpr auto MAX_STATE_BYTES = std::size_t(2) * 1024 * 1024;

    /// Longest time that opening a session waits for the entry's lease. Common clients give up
    /// after 2 s.
    static constexpr auto OPENING_WAIT_MS = std::chrono::milliseconds(1500);

    ProxySession(ProxySessionHooks sessionHooks, std::string clusterSecret);

    auto open(const SessionOpening &opening) -> void;
    auto enqueue(ClientStatement statement) -> void;

    /// The client sent bytes that can't be decoded, or a message that is not allowed: the session
    /// is ended, after the statements that came before have been answered.
    auto refuseInput(const std::string &reason) -> void;

    auto clientDisconnected() -> void;

    /// The client sent the end of its session.
    auto clientFinished() -> void;

    /// Ends the session as soon as no statement runs and no transaction is open.
    auto drain() -> void;

    /// Ends the session after the current statement; an open transaction is rolled back.
    auto endNow() -> void;

    [[nodiscard]] auto isOpen() const -> bool;

    /// Whether a statement runs or a transaction is open.
    [[nodiscard]] auto isBusy() const -> bool;

private:
    auto openBefore(const SessionOpening &opening, TimePoint deadline) -> void;
    auto refuseOpening(const StatementFailure &failure) -> void;
    auto endWith(const StatementFailure &failure) -> void;
    auto next() -> void;
    auto run(const ClientStatement &statement) -> void;
    auto runLocal(const ClientStatement &statement) -> void;
    auto setValue(const ClientStatement &statement) -> void;
    auto prepare(const ClientStatement &statement) -> void;
    auto deallocate(const ClientStatement &statement) -> void;

    /// Reserves room for `added` under `name`, in place of `replaced` when that is set; false, and
    /// an error to the client, when there is none.
    auto reserveState(const std::string &name, const std::string *replaced,
                      const std::string &added) -> bool;
    auto begin(const ClientStatement &statement) -> void;
    auto rollBack() -> void;
    auto commit(const ClientStatement &statement) -> void;
    auto forward(const ClientStatement &statement) -> void;
    auto runSingle(const ClientStatement &statement) -> void;
    auto runInTransaction(const ClientStatement &statement) -> void;
    auto finished(const StatementRequest &request, StatementResult result) -> void;
    auto finishedInTransaction(const StatementRequest &request, StatementResult &result) -> void;

    /// Checks the client's key and the route for a new operation and takes a token of the rate
    /// limit, then calls `admitted`.
    auto beginOperation(const ClientStatement &statement,
                        const std::function<auto(const OperationAuthorisation &)->void> &admitted)
        -> void;

    [[nodiscard]] auto makeRequest(const ClientStatement &statement) const -> StatementRequest;
    [[nodiscard]] auto findPrepared(const ClientStatement &statement) const
        -> std::optional<PreparedStatement>;
    auto respond(StatementResponse value) -> void;
    auto respondFailure(StatementError error, std::string detail) -> void;
    auto respondRefusal(ReasonCode reason) -> void;
    auto failTransaction() -> void;
    auto endTransaction() -> void;
    auto restartIdleTimer() -> void;
    auto stopIdleTimer() -> void;
    auto transactionIdle() -> void;
    auto end() -> void;
    auto report(StatementReport statementReport) -> void;

    const ProxySessionHooks hooks;
    const std::string secret;
    std::string database;
    std::optional<std::string>
        keyId; ///< std::nullopt: no valid key; only open routes permit operations.
    SessionValues values;
    std::map<std::string, PreparedStatement> prepared;
    std::size_t stateBytes = 0; ///< Of `values` and `prepared`.
    std::optional<Position> lastCommit;
    SessionState state = SessionState::Idle;
    std::optional<SessionTransaction> transaction;
    std::deque<ClientStatement> queued;
    std::optional<StatementFailure> refusedInput; ///< Ends the session after the queued statements.
    std::string runningId;
    std::string runningOrganisation;
    StatementKind runningKind = StatementKind::Malformed;
    TimePoint runningSince;
    TimePoint operationSince;
    /// Set when the opening had to wait. For the client, that wait is part of its first operation.
    std::optional<TimePoint> openingSince;
    TimerId idleTimer = 0;
    bool awaitsLease = false; ///< Opening the session waits for the entry's lease.
    bool opened = false;
    bool running = false;
    bool draining = false;
    bool endsAfterStatement = false;
    bool ended = false;
};

} // namespace auburnrail

#endif
