#include <proxy/ProxySession.h>

#include <proxy/StatementRun.h>

#include <cassert>
#include <utility>

namespace auburnrail {

namespace {

auto failureOf(ReasonCode reason) -> StatementFailure
{
    const auto error = reason == ReasonCode::UnknownService ? StatementError::UnknownDatabase
                                                            : StatementError::Unauthorised;
    return StatementFailure{error, std::string(nameOf(reason))};
}

} // namespace

ProxySession::ProxySession(ProxySessionHooks sessionHooks, std::string clusterSecret)
    : hooks(std::move(sessionHooks))
    , secret(std::move(clusterSecret))
{
    assert(this->hooks.state && this->hooks.admit && this->hooks.rollBack && this->hooks.sendOpened
           && this->hooks.sendAnswer && this->hooks.sendRefusal && this->hooks.close
           && this->hooks.report && "every hook must be set");
}

auto ProxySession::isOpen() const -> bool
{
    return this->opened && !this->ended;
}

auto ProxySession::isBusy() const -> bool
{
    return !this->ended && (this->running || this->state != SessionState::Idle);
}

auto ProxySession::open(const SessionOpening &opening) -> void
{
    if (this->opened) {
        this->refuseInput("the session is open already");
        return;
    }
    const auto objects = this->hooks.state();
    this->database = opening.database;
    this->keyId = findKeyId(*objects, opening.key, this->secret);
    const auto found = authoriseOperation(*objects, this->database, this->keyId);
    if (const auto *reason = std::get_if<ReasonCode>(&found); reason != nullptr) {
        // Without a lease this entry may not have heard of the route or the key.
        const auto isCertain =
            this->hooks.statements.holdsLease(this->hooks.statements.executor.now());
        const auto failure =
            isCertain ? failureOf(*reason)
                      : StatementFailure{StatementError::Busy, "this entry has no lease"};
        this->report(StatementReport{.database = this->database, .failure = failure});
        this->hooks.sendRefusal(failure);
        this->end();
        return;
    }
    this->opened = true;
    this->hooks.sendOpened();
    if (this->draining)
        this->end();
}

auto ProxySession::take(ClientStatement statement) -> void
{
    if (this->ended)
        return;
    if (!this->opened) {
        this->refuseInput("a statement came before the session was opened");
        return;
    }
    if (this->waiting.size() >= MAX_WAITING) {
        this->refuseInput("too many statements wait for an answer");
        return;
    }
    this->waiting.push_back(std::move(statement));
    this->next();
}

auto ProxySession::next() -> void
{
    while (!this->running && !this->ended && !this->waiting.empty()) {
        const auto statement = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->running = true;
        this->runningId = statement.id;
        this->runningKind = statement.kind;
        this->runningSince = this->hooks.statements.executor.now();
        this->stopIdleTimer();
        this->run(statement);
    }
}

auto ProxySession::run(const ClientStatement &statement) -> void
{
    const auto ends =
        statement.kind == StatementKind::Rollback || statement.kind == StatementKind::Commit;
    if (this->transaction && std::exchange(this->transaction->rolledBackForIdleness, false)
        && !ends) {
        this->answerFailure(StatementError::Aborted, "the transaction was idle for too long");
        return;
    }
    if (this->state == SessionState::Failed && !ends) {
        this->answerFailure(StatementError::Malformed, "the transaction failed; it must be ended");
        return;
    }
    switch (statement.kind) {
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        this->forward(statement);
        break;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        this->begin(statement);
        break;
    case StatementKind::Commit:
        this->commit(statement);
        break;
    default:
        this->runLocal(statement);
    }
}

auto ProxySession::runLocal(const ClientStatement &statement) -> void
{
    switch (statement.kind) {
    case StatementKind::SetValue:
        this->setValue(statement);
        break;
    case StatementKind::Prepare:
        this->prepare(statement);
        break;
    case StatementKind::Deallocate:
        this->deallocate(statement);
        break;
    case StatementKind::Rollback:
        this->rollBack();
        break;
    default:
        this->answerFailure(StatementError::Malformed, "the statement can't be understood");
    }
}

auto ProxySession::setValue(const ClientStatement &statement) -> void
{
    this->values.insert_or_assign(statement.name, statement.value);
    this->answer(StatementAnswer());
}

auto ProxySession::prepare(const ClientStatement &statement) -> void
{
    this->prepared.insert_or_assign(statement.name,
                                    PreparedStatement{statement.shape, statement.writes});
    this->answer(StatementAnswer());
}

auto ProxySession::deallocate(const ClientStatement &statement) -> void
{
    if (this->prepared.erase(statement.name) == 0)
        this->answerFailure(StatementError::UnknownStatement, statement.name);
    else
        this->answer(StatementAnswer());
}

auto ProxySession::beginOperation(
    const ClientStatement &statement,
    const std::function<auto(const OperationAuthorisation &)->void> &admitted) -> void
{
    const auto found = authoriseOperation(*this->hooks.state(), this->database, this->keyId);
    if (const auto *reason = std::get_if<ReasonCode>(&found); reason != nullptr) {
        auto failure = failureOf(*reason);
        this->answerFailure(failure.error, std::move(failure.detail));
        return;
    }
    const auto &authorisation = std::get<OperationAuthorisation>(found);
    this->runningOrganisation = authorisation.organisation;
    if (authorisation.organisation.empty()) {
        admitted(authorisation);
        return;
    }
    const auto deadline = this->runningSince + authorisation.policy.statementTimeout;
    this->hooks.admit(
        authorisation.organisation, deadline,
        [self = this->shared_from_this(), authorisation, admitted,
         id = statement.id](const std::optional<RequestRefusal> &refusal) {
            self->hooks.statements.executor.post([self, authorisation, admitted, refusal] {
                if (self->ended)
                    return;
                if (refusal)
                    self->answerFailure(StatementError::Busy, std::string(nameOf(refusal->reason)));
                else
                    admitted(authorisation);
            });
        });
}

auto ProxySession::begin(const ClientStatement &statement) -> void
{
    if (this->state != SessionState::Idle) {
        this->answerFailure(StatementError::Malformed, "a transaction is open already");
        return;
    }
    const auto access = statement.kind == StatementKind::BeginReadOnly
                            ? TransactionAccess::ReadOnly
                            : TransactionAccess::ReadWrite;
    this->beginOperation(statement, [this, access, id = statement.id](
                                        const OperationAuthorisation &authorisation) {
        this->transaction =
            SessionTransaction{.openingId = id, .access = access, .authorisation = authorisation};
        this->state = SessionState::InTransaction;
        this->answer(StatementAnswer());
    });
}

auto ProxySession::rollBack() -> void
{
    if (this->state == SessionState::Idle) {
        this->answerFailure(StatementError::Malformed, "no transaction is open");
        return;
    }
    this->endTransaction();
    this->answer(StatementAnswer());
}

auto ProxySession::commit(const ClientStatement &statement) -> void
{
    if (this->state == SessionState::Idle) {
        this->answerFailure(StatementError::Malformed, "no transaction is open");
    } else if (this->state == SessionState::Failed) {
        this->endTransaction();
        this->answerFailure(StatementError::Aborted, "the transaction had failed");
    } else {
        this->runInTransaction(statement);
    }
}

auto ProxySession::forward(const ClientStatement &statement) -> void
{
    if (statement.kind == StatementKind::Execute && !this->prepared.contains(statement.name)) {
        if (this->state != SessionState::Idle)
            this->failTransaction();
        this->answerFailure(StatementError::UnknownStatement, statement.name);
        return;
    }
    if (this->state == SessionState::InTransaction)
        this->runInTransaction(statement);
    else
        this->runSingle(statement);
}

auto ProxySession::findPrepared(const ClientStatement &statement) const
    -> std::optional<PreparedStatement>
{
    if (statement.kind != StatementKind::Execute)
        return std::nullopt;
    const auto found = this->prepared.find(statement.name);
    return found == this->prepared.end() ? std::nullopt : std::optional(found->second);
}

auto ProxySession::makeOrder(const ClientStatement &statement) const -> StatementOrder
{
    return StatementOrder{.statement = statement,
                          .prepared = this->findPrepared(statement),
                          .values = this->values,
                          .sessionPosition = this->lastCommit,
                          .arrivedAt = this->runningSince};
}

auto ProxySession::runSingle(const ClientStatement &statement) -> void
{
    this->beginOperation(statement, [this, statement](const OperationAuthorisation &authorisation) {
        auto order = this->makeOrder(statement);
        order.policy = authorisation.policy;
        order.group = authorisation.group;
        order.organisation = authorisation.organisation;
        order.weight = authorisation.weight;
        const auto run = std::make_shared<StatementRun>(
            this->hooks.statements, order,
            [self = this->shared_from_this(), order](StatementResult result) {
                self->finished(order, std::move(result));
            });
        run->start();
    });
}

auto ProxySession::runInTransaction(const ClientStatement &statement) -> void
{
    auto &open = *this->transaction;
    auto order = this->makeOrder(statement);
    order.policy = open.authorisation.policy;
    order.group = open.authorisation.group;
    order.organisation = open.authorisation.organisation;
    order.weight = open.authorisation.weight;
    order.transactionWrote = open.wrote;
    if (open.link == nullptr)
        order.opens = open.access;
    order.openingId = open.openingId;
    open.wrote = open.wrote || order.writes();
    const auto run = std::make_shared<StatementRun>(
        this->hooks.statements, order,
        [self = this->shared_from_this(), order](StatementResult result) {
            self->finishedInTransaction(order, result);
            self->finished(order, std::move(result));
        });
    if (open.link == nullptr)
        run->start();
    else
        run->startInTransaction(std::exchange(open.link, nullptr));
}

auto ProxySession::finishedInTransaction(const StatementOrder &order, StatementResult &result)
    -> void
{
    this->transaction->link = result.link;
    // A commit ends the transaction whatever comes of it; what the server still holds is rolled
    // back with the connection.
    if (order.statement.kind == StatementKind::Commit) {
        this->endTransaction();
        return;
    }
    this->state = SessionState::InTransaction;
    // Whatever the server says, without its connection the transaction is over.
    if (result.answer.failure || result.link == nullptr)
        this->failTransaction();
}

auto ProxySession::finished(const StatementOrder &order, StatementResult result) -> void
{
    const auto committed = !result.answer.failure
                           && (order.statement.kind == StatementKind::Commit
                               || (!this->transaction && order.writes()));
    if (committed && result.answer.position)
        this->lastCommit = result.answer.position;
    this->report(
        StatementReport{.id = order.statement.id,
                        .kind = order.statement.kind,
                        .database = this->database,
                        .organisation = order.organisation,
                        .endpoint = result.endpoint,
                        .attempts = result.attempts,
                        .failure = result.answer.failure,
                        .position = result.answer.position,
                        .duration = this->hooks.statements.executor.now() - order.arrivedAt});
    if (this->ended) {
        this->endTransaction();
        return;
    }
    this->answer(std::move(result.answer));
}

auto ProxySession::answer(StatementAnswer value) -> void
{
    value.state = this->state;
    this->running = false;
    this->hooks.sendAnswer(value);
    if (this->endsAfterStatement || (this->draining && this->state == SessionState::Idle)) {
        this->end();
        return;
    }
    if (this->state == SessionState::InTransaction)
        this->restartIdleTimer();
    this->next();
}

auto ProxySession::answerFailure(StatementError error, std::string detail) -> void
{
    auto failure = StatementFailure{error, std::move(detail)};
    this->report(
        StatementReport{.id = this->runningId,
                        .kind = this->runningKind,
                        .database = this->database,
                        .organisation = this->runningOrganisation,
                        .failure = failure,
                        .duration = this->hooks.statements.executor.now() - this->runningSince});
    this->answer(StatementAnswer{.failure = std::move(failure)});
}

auto ProxySession::failTransaction() -> void
{
    this->state = SessionState::Failed;
    if (auto link = std::exchange(this->transaction->link, nullptr); link != nullptr)
        this->hooks.rollBack(link);
}

auto ProxySession::endTransaction() -> void
{
    if (!this->transaction)
        return;
    this->stopIdleTimer();
    if (auto link = std::exchange(this->transaction->link, nullptr); link != nullptr)
        this->hooks.rollBack(link);
    this->transaction.reset();
    this->state = SessionState::Idle;
}

auto ProxySession::restartIdleTimer() -> void
{
    this->stopIdleTimer();
    const auto limit = this->transaction->authorisation.policy.transactionIdleLimit;
    if (limit <= Duration::zero() || this->transaction->link == nullptr)
        return;
    this->idleTimer =
        this->hooks.statements.executor.postAfter(limit, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock(); self != nullptr)
                self->transactionIdle();
        });
}

auto ProxySession::stopIdleTimer() -> void
{
    if (this->idleTimer != 0)
        this->hooks.statements.executor.cancel(std::exchange(this->idleTimer, 0));
}

auto ProxySession::transactionIdle() -> void
{
    // The timer may have come due while the next statement arrived.
    if (this->running || this->ended || this->state != SessionState::InTransaction)
        return;
    this->idleTimer = 0;
    this->failTransaction();
    this->transaction->rolledBackForIdleness = true;
}

auto ProxySession::refuseInput(const std::string &reason) -> void
{
    if (this->ended)
        return;
    const auto failure = StatementFailure{StatementError::Malformed, reason};
    this->report(StatementReport{.database = this->database, .failure = failure});
    this->hooks.sendRefusal(failure);
    this->end();
}

auto ProxySession::callerLeft() -> void
{
    this->end();
}

auto ProxySession::drain() -> void
{
    this->draining = true;
    if (this->opened && !this->isBusy())
        this->end();
}

auto ProxySession::endNow() -> void
{
    if (this->ended)
        return;
    if (this->running) {
        this->endsAfterStatement = true;
        return;
    }
    if (this->state == SessionState::InTransaction) {
        this->endTransaction();
        this->hooks.sendRefusal(
            StatementFailure{StatementError::Aborted, "this entry is shutting down"});
    }
    this->end();
}

auto ProxySession::end() -> void
{
    if (std::exchange(this->ended, true))
        return;
    // A statement under way ends on its own; its connection is not touched before.
    if (!this->running)
        this->endTransaction();
    this->waiting.clear();
    this->stopIdleTimer();
    this->hooks.close();
}

auto ProxySession::report(StatementReport account) -> void
{
    account.revision = this->hooks.state()->revision();
    this->hooks.report(account);
}

} // namespace auburnrail
