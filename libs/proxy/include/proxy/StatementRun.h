#ifndef AUBURNRAIL_PROXY_STATEMENTRUN_H
#define AUBURNRAIL_PROXY_STATEMENTRUN_H

#include <proxy/StatementHooks.h>
#include <proxy/StatementOrder.h>
#include <proxy/StatementResult.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Brings one statement to a server and its answer back: placement, a leased connection, the
/// session's values on it, the beginning of a transaction where one is opened, and the statement.
/// What certainly did not run is tried again, at another server where there is one, until the
/// statement's deadline; a read outside a transaction also when its connection was lost. Whatever
/// may have run and changed data is never sent twice.
///
/// Decisions only: everything else goes through the hooks. Thread rule: created and started on the
/// session's executor; it runs there and nowhere else.
class StatementRun : public std::enable_shared_from_this<StatementRun>
{
public:
    using Done = std::function<auto(StatementResult)->void>;

    /// Wait before a statement is tried again after a refusal, doubled each time. Shorter than most
    /// work, longer than the message that a slot became free takes.
    static constexpr auto RETRY_PAUSE_MS = std::chrono::milliseconds(10);
    static constexpr auto LONGEST_RETRY_PAUSE_MS = std::chrono::milliseconds(80);

    /// A statement with less time left is not sent any more: its answer would come too late, and a
    /// write would be in doubt. A round trip between regions and a short statement.
    static constexpr auto LEAST_TIME_MS = std::chrono::milliseconds(60);
    /// The same for what writes. A late write can't be repeated by its caller, while one that was
    /// not run can, so it is sent only with time for a queue at the server and for its replica.
    static constexpr auto LEAST_TIME_TO_WRITE_MS = std::chrono::milliseconds(250);

    StatementRun(StatementHooks statementHooks, StatementOrder statementOrder, Done doneHook);

    /// Runs the statement outside a transaction, or opens one with it.
    auto start() -> void;

    /// Runs the statement in the transaction that is open on `transactionLink`.
    auto startInTransaction(ServerLinkPointer transactionLink) -> void;

private:
    using OnAnswer = std::function<auto(StatementRun &, StatementAnswer)->void>;

    auto attempt() -> void;
    auto leaseAwaited(bool held) -> void;
    auto attemptAfterPause(const std::string &reason) -> void;
    auto leased(absl::StatusOr<ServerLinkPointer> result) -> void;
    auto prepareNext() -> void;
    auto beginTransaction() -> void;
    auto runStatement() -> void;
    auto answered(StatementAnswer answer) -> void;

    /// Sends a request of the proxy's own or the statement; `onAnswer` gets the answer to it.
    auto exchange(const ServerRequest &request, const OnAnswer &onAnswer) -> void;

    /// The connection is gone while a request was under way.
    auto lost(const ServerOutcome &outcome) -> void;

    /// The server refused a preparation or the beginning of a transaction: nothing of it remains.
    auto refused(const StatementFailure &failure) -> void;

    auto rollBackAndAttempt(const std::string &reason) -> void;
    auto dropLink(bool reusable) -> void;
    auto finish(StatementAnswer answer, bool keepsLink) -> void;
    auto fail(StatementError error, std::string detail, SessionState state) -> void;

    [[nodiscard]] auto placementRequest() const -> PlacementRequest;
    [[nodiscard]] auto statementRequest() const -> ServerRequest;
    [[nodiscard]] auto timeLeft() const -> Duration;
    [[nodiscard]] auto hasTimeToRun() const -> bool;

    const StatementHooks hooks;
    const StatementOrder order;
    Done done;
    ServerLinkPointer link;
    Placement placement;
    std::deque<ServerRequest> preparations;
    std::vector<std::string> tried; ///< Replicas that lagged, or servers that were not reached.
    std::uint32_t attempts = 0;
    std::uint32_t pauses = 0;
    bool continuesTransaction = false; ///< The transaction was open before this statement.
    bool transactionOpen = false;
    bool statementSent = false; ///< The statement is with a server that has not answered.
    bool needsPrimary = false;  ///< A replica refused; only the primary is certain to serve.
    /// Why the last attempt failed; before the first one, only the admission can have taken time.
    std::string lastProblem = "the admission took too long";
};

} // namespace auburnrail

#endif
