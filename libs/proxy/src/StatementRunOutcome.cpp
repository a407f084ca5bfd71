// What follows a server's response, or the loss of one. Choosing a server and sending the statement
// is in StatementRun.cpp.
#include <proxy/StatementRun.h>

#include <utility>

namespace auburnrail {

namespace {

/// Whether the connection holds what ServerSession has noted after a request that failed with
/// `error`: the request had no effect, and the server has the statements prepared on it.
auto isSessionKnown(StatementError error) -> bool
{
    return isNotRun(error) && error != StatementError::UnknownStatement;
}

} // namespace

auto StatementRun::handleResponse(StatementResponse response) -> void
{
    const auto notRun = response.failure && isNotRun(response.failure->error);
    if (!notRun) {
        this->finish(std::move(response), this->transactionOpen);
        return;
    }
    // A busy server may have capacity shortly after. A transaction that is not bound to its server
    // yet may begin on another replica instead.
    const auto canWait = response.failure->error == StatementError::Busy
                         && response.state == SessionState::InTransaction
                         && this->timeLeft() > MAX_RETRY_PAUSE_MS
                         && (this->continuesTransaction || this->placement.isPrimary);
    if (canWait) {
        this->hooks.executor.postAfter(this->nextPause(),
                                       [self = this->shared_from_this()] { self->runStatement(); });
        return;
    }
    if (!isSessionKnown(response.failure->error)) {
        this->refusedAsUnknown(*response.failure);
        return;
    }
    if (this->continuesTransaction) {
        this->finish(std::move(response), true);
        return;
    }
    if (this->transactionOpen) {
        this->rollBackAndAttempt(response.failure->detail);
        return;
    }
    this->refused(response);
}

auto StatementRun::refusedAsUnknown(const StatementFailure &failure) -> void
{
    this->lastError = std::string(nameOf(failure.error)) + " " + failure.detail;
    this->dropConnection(false);
    this->transactionOpen = false;
    if (this->continuesTransaction)
        this->abortTransaction();
    else
        this->attemptAfterPause(this->lastError);
}

auto StatementRun::refused(const StatementResponse &response) -> void
{
    const auto &failure = *response.failure;
    const auto isKnown = isSessionKnown(failure.error);
    if (this->continuesTransaction && isKnown) {
        this->finish(StatementResponse{.failure = failure, .state = SessionState::Failed}, true);
        return;
    }
    if (this->continuesTransaction) {
        this->dropConnection(false);
        this->fail(failure.error, failure.detail, SessionState::Failed);
        return;
    }
    this->lastError = std::string(nameOf(failure.error)) + " " + failure.detail;
    const auto isReusable = isKnown && response.state == SessionState::Idle;
    if (failure.error == StatementError::Busy && this->placement.isPrimary && isReusable) {
        this->hooks.executor.postAfter(
            this->nextPause(), [self = this->shared_from_this()] { self->retryOnConnection(); });
        return;
    }
    const auto lagsBehind = failure.error == StatementError::Lagging;
    if (lagsBehind)
        this->needsPrimary = true;
    else if (!this->placement.isPrimary)
        this->triedEndpoints.push_back(this->placement.endpoint);
    this->dropConnection(isReusable);
    if (!this->hasTimeToRun()) {
        this->fail(StatementError::Busy, "not run: " + this->lastError, SessionState::Idle);
        return;
    }
    if (lagsBehind)
        this->attempt();
    else
        this->attemptAfterPause(this->lastError);
}

auto StatementRun::refuseChange(const std::string &reason) -> void
{
    this->lastError = reason;
    if (this->continuesTransaction) {
        this->dropConnection(false);
        this->abortTransaction();
    } else if (this->transactionOpen) {
        this->rollBackAndAttempt(reason);
    } else {
        this->dropConnection(true);
        this->attempt();
    }
}

auto StatementRun::retryOnConnection() -> void
{
    const auto now = this->hooks.executor.now();
    const auto chosen = this->hasTimeToRun() && this->hooks.holdsLease(now)
                            ? this->hooks.place(this->placementRequest(), now)
                            : std::nullopt;
    const auto isSamePrimary = chosen && chosen->endpoint == this->placement.endpoint
                               && chosen->term == this->connection->term;
    if (isSamePrimary) {
        this->runOnConnection();
        return;
    }
    this->dropConnection(true);
    this->attempt();
}

auto StatementRun::rollBackAndAttempt(const std::string &reason) -> void
{
    this->lastError = reason;
    this->exchange(ServerRequest{.operation = ServerOperation::Rollback},
                   [](StatementRun &run, const StatementResponse &response) {
                       run.transactionOpen = false;
                       run.dropConnection(!response.failure
                                          && response.state == SessionState::Idle);
                       run.attemptAfterPause(run.lastError);
                   });
}

auto StatementRun::lost(const ServerOutcome &outcome) -> void
{
    this->lastError = std::string(nameOf(outcome.phase)) + ": " + outcome.error;
    this->dropConnection(false);
    const auto timedOut = outcome.phase == ServerPhase::TimedOut;
    const auto mayHaveRun = this->statementSent && outcome.phase != ServerPhase::NotSent;
    this->statementSent = false;
    if (mayHaveRun && this->statementRequest.commitsWrites()) {
        this->fail(StatementError::InDoubt, "the answer to the commit is missing",
                   SessionState::Idle);
        return;
    }
    if (this->continuesTransaction) {
        this->abortTransaction();
        return;
    }
    const auto opened = std::exchange(this->transactionOpen, false);
    if (mayHaveRun && !opened && this->statementRequest.writes()) {
        this->fail(StatementError::InDoubt, "the answer to the write is missing",
                   SessionState::Idle);
        return;
    }
    if (timedOut || !this->hasTimeToRun()) {
        this->fail(mayHaveRun && !opened ? StatementError::Timeout : StatementError::Busy,
                   this->lastError, SessionState::Idle);
        return;
    }
    if (!this->placement.isPrimary)
        this->triedEndpoints.push_back(this->placement.endpoint);
    this->attemptAfterPause(this->lastError);
}

auto StatementRun::abortTransaction() -> void
{
    // The server rolls back when its connection is closed; a commit of reads has no effect.
    const auto commits = this->statementRequest.statement.kind == StatementKind::Commit;
    this->fail(StatementError::Aborted, this->lastError,
               commits ? SessionState::Idle : SessionState::Failed);
}

auto StatementRun::dropConnection(bool reusable) -> void
{
    this->hooks.release(std::exchange(this->connection, nullptr), reusable);
}

auto StatementRun::finish(StatementResponse response, bool keepsConnection) -> void
{
    auto result = StatementResult{.response = std::move(response),
                                  .endpoint = this->placement.endpoint,
                                  .attempts = this->attempts};
    const auto staysOpen = keepsConnection && result.response.state != SessionState::Idle;
    if (staysOpen)
        result.connection = std::exchange(this->connection, nullptr);
    else
        this->dropConnection(result.response.state == SessionState::Idle);
    std::exchange(this->done, nullptr)(std::move(result));
}

auto StatementRun::fail(StatementError error, std::string detail, SessionState state) -> void
{
    auto result = StatementResult{
        .response = StatementResponse{.failure = StatementFailure{error, std::move(detail)},
                                      .state = state},
        .endpoint = this->placement.endpoint,
        .attempts = this->attempts};
    std::exchange(this->done, nullptr)(std::move(result));
}

} // namespace auburnrail
