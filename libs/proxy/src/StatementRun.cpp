#include <proxy/StatementRun.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

StatementRun::StatementRun(StatementHooks statementHooks, StatementOrder statementOrder,
                           Done doneHook)
    : hooks(std::move(statementHooks))
    , order(std::move(statementOrder))
    , done(std::move(doneHook))
{
    assert(this->hooks.holdsLease && this->hooks.awaitLease && this->hooks.place
           && this->hooks.lease && this->hooks.release && this->hooks.observe
           && "every hook must be set");
}

auto StatementRun::start() -> void
{
    this->attempt();
}

auto StatementRun::startInTransaction(ServerLinkPointer transactionLink) -> void
{
    this->link = std::move(transactionLink);
    this->placement = Placement{.endpoint = this->link->handle.endpoint,
                                .isPrimary = this->link->isPrimary,
                                .term = this->link->term};
    this->attempts = 1;
    this->continuesTransaction = true;
    this->transactionOpen = true;
    const auto requests =
        this->link->session.preparations(this->order.values, this->order.prepared, true);
    this->preparations.assign(requests.begin(), requests.end());
    this->prepareNext();
}

auto StatementRun::timeLeft() const -> Duration
{
    return this->order.deadline() - this->hooks.executor.now();
}

auto StatementRun::placementRequest() const -> PlacementRequest
{
    const auto opensWriting = this->order.opens == TransactionAccess::ReadWrite;
    return PlacementRequest{.group = this->order.group,
                            .needsPrimary = this->needsPrimary || opensWriting
                                            || (!this->order.opens && this->order.writes()),
                            .consistency = this->order.policy.consistency,
                            .maxStaleness = this->order.policy.maxStaleness,
                            .sessionPosition = this->order.sessionPosition,
                            .except = this->tried};
}

auto StatementRun::attempt() -> void
{
    const auto now = this->hooks.executor.now();
    if (!this->hasTimeToRun()) {
        this->fail(StatementError::Busy, "not run in time: " + this->lastProblem,
                   SessionState::Idle);
        return;
    }
    // Without a lease this entry may not know that the primary was replaced.
    if (!this->hooks.holdsLease(now)) {
        this->hooks.awaitLease(
            this->order.deadline(), [self = this->shared_from_this()](bool held) {
                self->hooks.executor.post([self, held] { self->leaseAwaited(held); });
            });
        return;
    }
    const auto chosen = this->hooks.place(this->placementRequest(), now);
    if (!chosen) {
        this->attemptAfterPause("no server may take the statement now");
        return;
    }
    this->placement = *chosen;
    this->hooks.lease(this->placement, this->order,
                      [self = this->shared_from_this()](absl::StatusOr<ServerLinkPointer> result) {
                          self->hooks.executor.post([self, result = std::move(result)]() mutable {
                              self->leased(std::move(result));
                          });
                      });
}

auto StatementRun::leaseAwaited(bool held) -> void
{
    this->lastProblem = "this entry is cut off from control";
    if (held)
        this->attempt();
    else
        this->fail(StatementError::Busy, this->lastProblem, SessionState::Idle);
}

auto StatementRun::attemptAfterPause(const std::string &reason) -> void
{
    this->lastProblem = reason;
    const auto doubled = RETRY_PAUSE_MS * (1U << std::min(this->pauses, 8U));
    ++this->pauses;
    const auto pause = std::min<Duration>(
        {doubled, LONGEST_RETRY_PAUSE_MS, std::max(this->timeLeft(), Duration::zero())});
    this->hooks.executor.postAfter(pause, [self = this->shared_from_this()] { self->attempt(); });
}

auto StatementRun::leased(absl::StatusOr<ServerLinkPointer> result) -> void
{
    if (!result.ok()) {
        this->lastProblem = std::string(result.status().message());
        if (absl::IsUnavailable(result.status()) && !this->placement.isPrimary)
            this->tried.push_back(this->placement.endpoint);
        this->attemptAfterPause(this->lastProblem);
        return;
    }
    this->link = *std::move(result);
    // The wait for a connection may have outlasted the lease or the deadline.
    if (!this->hasTimeToRun() || !this->hooks.holdsLease(this->hooks.executor.now())) {
        this->dropLink(true);
        this->attempt();
        return;
    }
    ++this->attempts;
    const auto requests =
        this->link->session.preparations(this->order.values, this->order.prepared, false);
    this->preparations.assign(requests.begin(), requests.end());
    this->prepareNext();
}

auto StatementRun::prepareNext() -> void
{
    if (this->preparations.empty()) {
        if (this->order.opens && !this->transactionOpen)
            this->beginTransaction();
        else
            this->runStatement();
        return;
    }
    const auto request = this->preparations.front();
    this->preparations.pop_front();
    this->exchange(request, [request](StatementRun &run, StatementAnswer answer) {
        if (answer.failure) {
            run.refused(*answer.failure);
            return;
        }
        run.link->session.applied(request);
        run.prepareNext();
    });
}

auto StatementRun::beginTransaction() -> void
{
    const auto readOnly = this->order.opens == TransactionAccess::ReadOnly;
    const auto request = ServerRequest{.operation = readOnly ? ServerOperation::BeginReadOnly
                                                             : ServerOperation::Begin,
                                       .id = this->order.openingId,
                                       .minimumPosition = this->placement.minimumPosition};
    this->exchange(request, [](StatementRun &run, StatementAnswer answer) {
        if (answer.failure) {
            run.refused(*answer.failure);
            return;
        }
        run.transactionOpen = true;
        run.runStatement();
    });
}

auto StatementRun::statementRequest() const -> ServerRequest
{
    auto request = ServerRequest{.operation = ServerOperation::Forward,
                                 .id = this->order.statement.id,
                                 .text = this->order.statement.text};
    if (this->order.prepared) {
        request.operation = ServerOperation::Execute;
        request.name = ServerSession::nameOnServer(*this->order.prepared);
        request.value = this->order.statement.value;
    }
    if (!this->transactionOpen)
        request.minimumPosition = this->placement.minimumPosition;
    return request;
}

auto StatementRun::runStatement() -> void
{
    this->statementSent = true;
    this->exchange(this->statementRequest(), [](StatementRun &run, StatementAnswer answer) {
        run.statementSent = false;
        run.answered(std::move(answer));
    });
}

auto StatementRun::exchange(const ServerRequest &request, const OnAnswer &onAnswer) -> void
{
    const auto limit = std::max<Duration>(this->timeLeft(), std::chrono::milliseconds(1));
    this->link->exchange(
        request, limit, [self = this->shared_from_this(), onAnswer](ServerOutcome outcome) {
            self->hooks.executor.post([self, onAnswer, outcome = std::move(outcome)]() mutable {
                self->hooks.observe(*self->link, outcome);
                if (outcome.phase == ServerPhase::Answered)
                    onAnswer(*self, std::move(outcome.answer));
                else
                    self->lost(outcome);
            });
        });
}

auto StatementRun::answered(StatementAnswer answer) -> void
{
    const auto notRun = answer.failure && isNotRun(answer.failure->error);
    if (!notRun) {
        this->finish(std::move(answer), this->transactionOpen);
        return;
    }
    if (this->continuesTransaction) {
        // A full server may have room a moment later; any other refusal ends the transaction.
        const auto canWait = answer.failure->error == StatementError::Busy
                             && answer.state == SessionState::InTransaction
                             && this->timeLeft() > LONGEST_RETRY_PAUSE_MS;
        if (!canWait) {
            this->finish(std::move(answer), true);
            return;
        }
        this->hooks.executor.postAfter(RETRY_PAUSE_MS,
                                       [self = this->shared_from_this()] { self->runStatement(); });
        return;
    }
    if (this->transactionOpen) {
        this->rollBackAndAttempt(answer.failure->detail);
        return;
    }
    this->refused(*answer.failure);
}

auto StatementRun::refused(const StatementFailure &failure) -> void
{
    if (this->continuesTransaction) {
        auto answer = StatementAnswer{.failure = failure, .state = SessionState::Failed};
        this->finish(std::move(answer), true);
        return;
    }
    this->lastProblem = std::string(nameOf(failure.error)) + " " + failure.detail;
    const auto lagsBehind = failure.error == StatementError::Lagging;
    if (lagsBehind)
        this->needsPrimary = true;
    else if (!this->placement.isPrimary)
        this->tried.push_back(this->placement.endpoint);
    this->dropLink(isNotRun(failure.error));
    if (!this->hasTimeToRun()) {
        this->fail(StatementError::Busy, "not run: " + this->lastProblem, SessionState::Idle);
        return;
    }
    if (lagsBehind)
        this->attempt();
    else
        this->attemptAfterPause(this->lastProblem);
}

auto StatementRun::rollBackAndAttempt(const std::string &reason) -> void
{
    this->lastProblem = reason;
    this->exchange(ServerRequest{.operation = ServerOperation::Rollback},
                   [](StatementRun &run, const StatementAnswer &answer) {
                       run.transactionOpen = false;
                       run.dropLink(!answer.failure && answer.state == SessionState::Idle);
                       run.attemptAfterPause(run.lastProblem);
                   });
}

auto StatementRun::hasTimeToRun() const -> bool
{
    const auto writesAlone = this->order.writes() && !this->order.opens;
    return this->timeLeft() > (writesAlone ? LEAST_TIME_TO_WRITE_MS : LEAST_TIME_MS);
}

auto StatementRun::lost(const ServerOutcome &outcome) -> void
{
    this->lastProblem = std::string(nameOf(outcome.phase)) + ": " + outcome.error;
    this->dropLink(false);
    const auto timedOut = outcome.phase == ServerPhase::TimedOut;
    const auto commits = this->order.statement.kind == StatementKind::Commit;
    const auto mayHaveRun = this->statementSent && outcome.phase != ServerPhase::NotSent;
    this->statementSent = false;
    if (mayHaveRun && commits && this->order.transactionWrote) {
        this->fail(StatementError::InDoubt, "the answer to the commit is missing",
                   SessionState::Idle);
        return;
    }
    if (this->continuesTransaction) {
        // The server rolls back when its connection ends; a commit of reads keeps nothing anyway.
        this->fail(StatementError::Aborted, this->lastProblem,
                   commits ? SessionState::Idle : SessionState::Failed);
        return;
    }
    const auto opened = std::exchange(this->transactionOpen, false);
    if (mayHaveRun && !opened && this->order.writes()) {
        this->fail(StatementError::InDoubt, "the answer to the write is missing",
                   SessionState::Idle);
        return;
    }
    if (timedOut || !this->hasTimeToRun()) {
        this->fail(mayHaveRun && !opened ? StatementError::Timeout : StatementError::Busy,
                   this->lastProblem, SessionState::Idle);
        return;
    }
    if (!this->placement.isPrimary)
        this->tried.push_back(this->placement.endpoint);
    this->attemptAfterPause(this->lastProblem);
}

auto StatementRun::dropLink(bool reusable) -> void
{
    this->hooks.release(std::exchange(this->link, nullptr), reusable);
}

auto StatementRun::finish(StatementAnswer answer, bool keepsLink) -> void
{
    auto result = StatementResult{.answer = std::move(answer),
                                  .endpoint = this->placement.endpoint,
                                  .attempts = this->attempts};
    const auto staysOpen = keepsLink && result.answer.state != SessionState::Idle;
    if (staysOpen)
        result.link = std::exchange(this->link, nullptr);
    else
        this->dropLink(result.answer.state == SessionState::Idle);
    std::exchange(this->done, nullptr)(std::move(result));
}

auto StatementRun::fail(StatementError error, std::string detail, SessionState state) -> void
{
    auto result = StatementResult{
        .answer =
            StatementAnswer{.failure = StatementFailure{error, std::move(detail)}, .state = state},
        .endpoint = this->placement.endpoint,
        .attempts = this->attempts};
    std::exchange(this->done, nullptr)(std::move(result));
}

} // namespace auburnrail
