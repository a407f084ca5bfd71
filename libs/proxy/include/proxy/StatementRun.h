#ifndef AUBURNRAIL_PROXY_STATEMENTRUN_H
#define AUBURNRAIL_PROXY_STATEMENTRUN_H

#include <proxy/StatementHooks.h>
#include <proxy/StatementRequest.h>
#include <proxy/StatementResult.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Runs one statement on a server: chooses the server, leases a connection, sets the session's
/// values on it, begins a transaction if one has to be opened, and sends the statement. A statement
/// that certainly did not run is retried until its deadline, on another server if there is one; a
/// read outside a transaction is also retried when its connection was lost. A statement that may
/// have run and changed data is never sent twice.
///
/// A change of data is sent only while this entry holds its lease and the server is the primary of
/// the present term. A commit that was under way when that ended is acknowledged for at most
/// ACKNOWLEDGEMENT_GRACE after it was sent; control relies on this limit in a failover.
///
/// Contains decisions only; everything else goes through the hooks. Not thread-safe: must be
/// created and started on the session's executor, and runs only there.
class StatementRun : public std::enable_shared_from_this<StatementRun>
{
public:
    using Done = std::function<auto(StatementResult)->void>;

    /// Wait before the first retry after a refusal, doubled for each further retry. Shorter than
    /// most statements run, longer than it takes to learn that a slot became free.
    static constexpr auto RETRY_PAUSE_MS = std::chrono::milliseconds(10);
    static constexpr auto MAX_RETRY_PAUSE_MS = std::chrono::milliseconds(80);

    StatementRun(StatementHooks statementHooks, StatementRequest requestToRun, Done doneHook);

    /// Runs the statement outside a transaction, or as the first one of a transaction.
    auto start() -> void;

    /// Runs the statement in the transaction that is open on `transactionConnection`.
    auto startInTransaction(PooledConnectionPointer transactionConnection) -> void;

private:
    using OnLease = std::function<auto(StatementRun &, bool held)->void>;
    using OnResponse = std::function<auto(StatementRun &, StatementResponse)->void>;

    auto attempt() -> void;
    /// Waits until this entry holds a lease, none is expected or the deadline has passed.
    auto awaitLease(const OnLease &onLease) -> void;
    auto leaseAwaited(bool held) -> void;
    auto attemptAfterPause(const std::string &reason) -> void;
    /// The pause before the next retry.
    [[nodiscard]] auto nextPause() -> Duration;
    auto leased(absl::StatusOr<PooledConnectionPointer> result) -> void;
    /// Prepares the connection for the statement and sends it.
    auto runOnConnection() -> void;
    /// Sends the statement again on the same connection, to a server that had no capacity.
    auto retryOnConnection() -> void;
    auto prepareNext() -> void;
    auto beginTransaction() -> void;
    auto runStatement() -> void;
    /// Handles a change of data that may not be sent now: waits for a lease, or refuses it.
    auto deferChange() -> void;
    /// Ends or restarts a change of data whose server may have been replaced.
    auto refuseChange(const std::string &reason) -> void;
    auto handleResponse(StatementResponse response) -> void;

    /// Sends the statement or a request of the proxy itself; `onResponse` receives the response.
    auto exchange(const ServerRequest &request, const OnResponse &onResponse) -> void;

    /// The connection was lost, or a time limit passed, while a request was in progress.
    auto lost(const ServerOutcome &outcome) -> void;

    /// The server refused a preparation, the beginning of a transaction or the statement. The
    /// client's statement had no effect; a preparation may have changed the connection.
    auto refused(const StatementResponse &response) -> void;

    /// The server does not have the prepared statement; the statement had no effect.
    auto refusedAsUnknown(const StatementFailure &failure) -> void;

    /// Reports the transaction as rolled back; its connection has been closed.
    auto abortTransaction() -> void;
    auto rollBackAndAttempt(const std::string &reason) -> void;
    auto dropConnection(bool reusable) -> void;
    auto finish(StatementResponse response, bool keepsConnection) -> void;
    auto fail(StatementError error, std::string detail, SessionState state) -> void;

    [[nodiscard]] auto placementRequest() const -> PlacementRequest;
    [[nodiscard]] auto serverRequest() const -> ServerRequest;
    [[nodiscard]] auto timeLeft() const -> Duration;
    [[nodiscard]] auto hasTimeToRun() const -> bool;
    /// Whether a change of data may be sent on the connection now.
    [[nodiscard]] auto mayChangeData() const -> bool;
    /// Whether a successful response to the statement acknowledges a commit.
    [[nodiscard]] auto acknowledgesCommit() const -> bool;
    /// Decides whether the write that the server has completed is acknowledged.
    [[nodiscard]] auto isAcknowledged(std::optional<Position> position, TimePoint sentAt) const
        -> bool;

    const StatementHooks hooks;
    const StatementRequest statementRequest;
    Done done;
    PooledConnectionPointer connection;
    Placement placement;
    std::deque<ServerRequest> preparations;
    std::vector<std::string>
        triedEndpoints; ///< Replicas that refused or failed; they are not chosen again.
    std::uint32_t attempts = 0;
    std::uint32_t pauses = 0;
    bool continuesTransaction = false; ///< The transaction was opened by an earlier statement.
    bool transactionOpen = false;
    bool statementSent = false; ///< The statement was sent and the server has not responded.
    bool needsPrimary = false; ///< A replica lagged; only the primary is certain to serve the read.
    /// Why the last attempt failed. Before the first attempt, only the admission can have used up
    /// the time.
    std::string lastError = "the admission took too long";
};

} // namespace auburnrail

#endif
