#include <proxy/StatementRun.h>

#include <lease/LeaseTiming.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto NO_LEASE = "this entry is cut off from control";

} // namespace

StatementRun::StatementRun(StatementHooks statementHooks, StatementRequest requestToRun,
                           Done doneHook)
    : hooks(std::move(statementHooks))
    , statementRequest(std::move(requestToRun))
    , done(std::move(doneHook))
{
    assert(this->hooks.holdsLease && this->hooks.isCurrentPrimary && this->hooks.awaitLease
           && this->hooks.place && this->hooks.lease && this->hooks.release && this->hooks.observe
           && "every hook must be set");
}

auto StatementRun::start() -> void
{
    this->attempt();
}

auto StatementRun::startInTransaction(PooledConnectionPointer transactionConnection) -> void
{
    this->connection = std::move(transactionConnection);
    this->placement = Placement{.endpoint = this->connection->handle.endpoint,
                                .isPrimary = this->connection->isPrimary,
                                .term = this->connection->term};
    this->attempts = 1;
    this->continuesTransaction = true;
    this->transactionOpen = true;
    const auto &endpoint = this->placement.endpoint;
    if (this->hooks.mayContinueAt
        && !this->hooks.mayContinueAt(endpoint, this->hooks.executor.now())) {
        this->lastError = "the zone of its server is evacuated";
        this->dropConnection(false);
        this->abortTransaction();
        return;
    }
    const auto requests = this->connection->session.preparations(
        this->statementRequest.values, this->statementRequest.prepared, true);
    this->preparations.assign(requests.begin(), requests.end());
    this->prepareNext();
}

auto StatementRun::timeLeft() const -> Duration
{
    return this->statementRequest.deadline() - this->hooks.executor.now();
}

auto StatementRun::placementRequest() const -> PlacementRequest
{
    const auto opensWriting = this->statementRequest.opens == TransactionAccess::ReadWrite;
    return PlacementRequest{
        .group = this->statementRequest.group,
        .needsPrimary = this->needsPrimary || opensWriting
                        || (!this->statementRequest.opens && this->statementRequest.writes()),
        .consistency = this->statementRequest.policy.consistency,
        .maxStaleness = this->statementRequest.policy.maxStaleness,
        .sessionPosition = this->statementRequest.sessionPosition,
        .except = this->triedEndpoints};
}

auto StatementRun::attempt() -> void
{
    const auto now = this->hooks.executor.now();
    if (!this->hasTimeToRun()) {
        this->fail(StatementError::Busy, "not run in time: " + this->lastError, SessionState::Idle);
        return;
    }
    // Without a lease this entry may not have learned that the primary was replaced.
    if (!this->hooks.holdsLease(now)) {
        this->awaitLease([](StatementRun &run, bool held) { run.leaseAwaited(held); });
        return;
    }
    const auto chosen = this->hooks.place(this->placementRequest(), now);
    if (!chosen && this->hooks.isAwaitingEvidence
        && this->hooks.isAwaitingEvidence(this->statementRequest.group)) {
        this->fail(StatementError::Busy, "not run: the failover waits for a server's log",
                   SessionState::Idle);
        return;
    }
    if (!chosen && this->hooks.isOutOfService
        && this->hooks.isOutOfService(this->statementRequest.group, now)) {
        this->fail(StatementError::Busy, "not run: the primary's zone is evacuated",
                   SessionState::Idle);
        return;
    }
    if (!chosen) {
        this->attemptAfterPause("no server may take the statement now");
        return;
    }
    this->placement = *chosen;
    this->hooks.lease(
        this->placement, this->statementRequest,
        [self = this->shared_from_this()](absl::StatusOr<PooledConnectionPointer> result) {
            self->hooks.executor.post(
                [self, result = std::move(result)]() mutable { self->leased(std::move(result)); });
        });
}

auto StatementRun::awaitLease(const OnLease &onLease) -> void
{
    this->hooks.awaitLease(
        this->statementRequest.deadline(), [self = this->shared_from_this(), onLease](bool held) {
            self->hooks.executor.post([self, onLease, held] { onLease(*self, held); });
        });
}

auto StatementRun::leaseAwaited(bool held) -> void
{
    this->lastError = NO_LEASE;
    if (held)
        this->attempt();
    else
        this->fail(StatementError::Busy, this->lastError, SessionState::Idle);
}

auto StatementRun::attemptAfterPause(const std::string &reason) -> void
{
    this->lastError = reason;
    this->hooks.executor.postAfter(this->nextPause(),
                                   [self = this->shared_from_this()] { self->attempt(); });
}

auto StatementRun::nextPause() -> Duration
{
    const auto doubled = RETRY_PAUSE_MS * (1U << std::min(this->pauses, 8U));
    ++this->pauses;
    return std::min<Duration>(
        {doubled, MAX_RETRY_PAUSE_MS, std::max(this->timeLeft(), Duration::zero())});
}

auto StatementRun::leased(absl::StatusOr<PooledConnectionPointer> result) -> void
{
    if (!result.ok()) {
        this->lastError = std::string(result.status().message());
        const auto isTooLate = absl::IsDeadlineExceeded(result.status());
        if (isTooLate && this->placement.isPrimary) {
            this->fail(StatementError::Busy, "not run in time: " + this->lastError,
                       SessionState::Idle);
            return;
        }
        if ((isTooLate || absl::IsUnavailable(result.status())) && !this->placement.isPrimary)
            this->triedEndpoints.push_back(this->placement.endpoint);
        this->attemptAfterPause(this->lastError);
        return;
    }
    this->connection = *std::move(result);
    // The lease or the deadline may have expired during the wait for a connection.
    if (!this->hasTimeToRun() || !this->hooks.holdsLease(this->hooks.executor.now())) {
        this->dropConnection(true);
        this->attempt();
        return;
    }
    this->runOnConnection();
}

auto StatementRun::runOnConnection() -> void
{
    ++this->attempts;
    const auto requests = this->connection->session.preparations(
        this->statementRequest.values, this->statementRequest.prepared, false);
    this->preparations.assign(requests.begin(), requests.end());
    this->prepareNext();
}

auto StatementRun::prepareNext() -> void
{
    if (this->preparations.empty()) {
        if (this->statementRequest.opens && !this->transactionOpen)
            this->beginTransaction();
        else
            this->runStatement();
        return;
    }
    const auto request = this->preparations.front();
    this->preparations.pop_front();
    this->exchange(request, [request](StatementRun &run, const StatementResponse &response) {
        if (response.failure) {
            run.refused(response);
            return;
        }
        run.connection->session.applied(request);
        run.prepareNext();
    });
}

auto StatementRun::beginTransaction() -> void
{
    const auto readOnly = this->statementRequest.opens == TransactionAccess::ReadOnly;
    const auto request = ServerRequest{.operation = readOnly ? ServerOperation::BeginReadOnly
                                                             : ServerOperation::Begin,
                                       .id = this->statementRequest.openingId,
                                       .minimumPosition = this->placement.minimumPosition};
    this->exchange(request, [](StatementRun &run, const StatementResponse &response) {
        if (response.failure) {
            run.refused(response);
            return;
        }
        run.transactionOpen = true;
        run.runStatement();
    });
}

auto StatementRun::serverRequest() const -> ServerRequest
{
    auto request = ServerRequest{.operation = ServerOperation::Forward,
                                 .id = this->statementRequest.statement.id,
                                 .text = this->statementRequest.statement.text};
    if (this->statementRequest.prepared) {
        request.operation = ServerOperation::Execute;
        request.name = this->connection->session.nameOnServer(*this->statementRequest.prepared);
        request.value = this->statementRequest.statement.value;
    }
    if (!this->transactionOpen)
        request.minimumPosition = this->placement.minimumPosition;
    return request;
}

auto StatementRun::mayChangeData() const -> bool
{
    return this->hooks.holdsLease(this->hooks.executor.now())
           && this->hooks.isCurrentPrimary(this->statementRequest.group, *this->connection);
}

auto StatementRun::acknowledgesCommit() const -> bool
{
    const auto writesAlone = this->statementRequest.writes() && !this->transactionOpen;
    return writesAlone || this->statementRequest.commitsWrites();
}

auto StatementRun::deferChange() -> void
{
    // Only an open transaction is bound to its connection; others start again and wait there.
    if (!this->continuesTransaction || this->hooks.holdsLease(this->hooks.executor.now())) {
        this->refuseChange("the primary is being replaced");
        return;
    }
    this->awaitLease([](StatementRun &run, bool held) {
        if (held)
            run.runStatement();
        else
            run.refuseChange(NO_LEASE);
    });
}

auto StatementRun::isAcknowledged(std::optional<Position> position, TimePoint sentAt) const -> bool
{
    const auto decide = [this, sentAt] {
        const auto isLate = this->hooks.executor.now() - sentAt > ACKNOWLEDGEMENT_GRACE;
        return !isLate || this->mayChangeData();
    };
    return this->hooks.acknowledge
               ? this->hooks.acknowledge(this->statementRequest.group, position, decide)
               : decide();
}

auto StatementRun::runStatement() -> void
{
    const auto now = this->hooks.executor.now();
    if (this->statementRequest.changesData() && !this->mayChangeData()) {
        this->deferChange();
        return;
    }
    this->statementSent = true;
    this->exchange(this->serverRequest(), [now](StatementRun &run, StatementResponse response) {
        run.statementSent = false;
        if (!response.failure && run.acknowledgesCommit()
            && !run.isAcknowledged(response.position, now)) {
            run.dropConnection(false);
            run.fail(StatementError::InDoubt, "the primary was replaced before it answered",
                     SessionState::Idle);
            return;
        }
        run.handleResponse(std::move(response));
    });
}

auto StatementRun::exchange(const ServerRequest &request, const OnResponse &onResponse) -> void
{
    const auto limit = std::max<Duration>(this->timeLeft(), std::chrono::milliseconds(1));
    this->connection->exchange(
        request, limit, [self = this->shared_from_this(), onResponse](ServerOutcome outcome) {
            self->hooks.executor.post([self, onResponse, outcome = std::move(outcome)]() mutable {
                self->hooks.observe(*self->connection, outcome);
                if (outcome.phase == ServerPhase::Responded)
                    onResponse(*self, std::move(outcome.response));
                else
                    self->lost(outcome);
            });
        });
}

auto StatementRun::hasTimeToRun() const -> bool
{
    return this->hooks.executor.now() < this->statementRequest.latestStart();
}

} // namespace auburnrail
