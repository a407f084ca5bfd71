#include <proxy/ProxySession.h>

#include "SessionRefusal.h"

#include <cassert>
#include <utility>

namespace auburnrail {

ProxySession::ProxySession(ProxySessionHooks sessionHooks, std::string clusterSecret)
    : hooks(std::move(sessionHooks))
    , secret(std::move(clusterSecret))
{
    assert(this->hooks.state && this->hooks.admit && this->hooks.rollBack && this->hooks.sendOpened
           && this->hooks.sendResponse && this->hooks.sendRefusal && this->hooks.close
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
    if (this->ended || this->refusedInput)
        return;
    if (this->opened || this->awaitsLease) {
        this->refuseInput("the session is open already");
        return;
    }
    this->openBefore(opening, this->hooks.statements.executor.now() + OPENING_WAIT_MS);
}

auto ProxySession::openBefore(const SessionOpening &opening, TimePoint deadline) -> void
{
    const auto &statements = this->hooks.statements;
    const auto hasLease = statements.holdsLease(statements.executor.now());
    const auto objects = this->hooks.state();
    this->database = opening.database;
    this->keyId = findKeyId(*objects, opening.key, this->secret);
    const auto found = authoriseOperation(*objects, this->database, this->keyId);
    if (const auto *reason = std::get_if<ReasonCode>(&found); reason != nullptr) {
        if (hasLease) {
            this->refuseOpening(detail::refusalOf(*reason));
            return;
        }
        // Without a lease this entry may not have received the route or the key yet.
        this->awaitsLease = true;
        if (!this->openingSince)
            this->openingSince = statements.executor.now();
        statements.awaitLease(
            deadline, [self = this->shared_from_this(), opening, deadline](bool held) {
                self->hooks.statements.executor.post([self, opening, deadline, held] {
                    if (self->ended)
                        return;
                    if (held)
                        self->openBefore(opening, deadline);
                    else
                        self->refuseOpening({StatementError::Busy, "this entry has no lease"});
                });
            });
        return;
    }
    this->awaitsLease = false;
    this->opened = true;
    this->hooks.sendOpened();
    if (this->draining)
        this->end();
    else
        this->next();
}

auto ProxySession::refuseOpening(const StatementFailure &failure) -> void
{
    this->report(StatementReport{.database = this->database, .failure = failure});
    this->endWith(failure);
}

auto ProxySession::endWith(const StatementFailure &failure) -> void
{
    this->hooks.sendRefusal(failure);
    this->end();
}

auto ProxySession::enqueue(ClientStatement statement) -> void
{
    if (this->ended || this->refusedInput)
        return;
    if (!this->opened && !this->awaitsLease) {
        this->refuseInput("a statement came before the session was opened");
        return;
    }
    if (this->queued.size() >= MAX_QUEUED) {
        this->refuseInput("too many statements wait for an answer");
        return;
    }
    this->queued.push_back(std::move(statement));
    this->next();
}

auto ProxySession::next() -> void
{
    while (this->opened && !this->running && !this->ended && !this->queued.empty()) {
        const auto statement = std::move(this->queued.front());
        this->queued.pop_front();
        this->running = true;
        this->runningId = statement.id;
        this->runningKind = statement.kind;
        this->runningSince = this->hooks.statements.executor.now();
        this->stopIdleTimer();
        this->run(statement);
    }
    if (this->refusedInput && !this->running && !this->ended && this->queued.empty())
        this->endWith(*this->refusedInput);
}

auto ProxySession::run(const ClientStatement &statement) -> void
{
    const auto ends =
        statement.kind == StatementKind::Rollback || statement.kind == StatementKind::Commit;
    if (this->transaction && std::exchange(this->transaction->rolledBackForIdleness, false)
        && !ends) {
        this->respondFailure(StatementError::Aborted, "the transaction was idle for too long");
        return;
    }
    if (this->state == SessionState::Failed && !ends) {
        this->respondFailure(StatementError::Malformed, "the transaction failed; it must be ended");
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

auto ProxySession::respond(StatementResponse value) -> void
{
    value.state = this->state;
    this->running = false;
    this->hooks.sendResponse(value);
    if (this->endsAfterStatement || (this->draining && this->state == SessionState::Idle)) {
        this->end();
        return;
    }
    if (this->state == SessionState::InTransaction)
        this->restartIdleTimer();
    this->next();
}

auto ProxySession::respondFailure(StatementError error, std::string detail) -> void
{
    auto failure = StatementFailure{error, std::move(detail)};
    this->report(
        StatementReport{.id = this->runningId,
                        .kind = this->runningKind,
                        .database = this->database,
                        .organisation = this->runningOrganisation,
                        .failure = failure,
                        .duration = this->hooks.statements.executor.now() - this->runningSince});
    this->respond(StatementResponse{.failure = std::move(failure)});
}

auto ProxySession::respondRefusal(ReasonCode reason) -> void
{
    auto failure = detail::refusalOf(reason);
    this->respondFailure(failure.error, std::move(failure.detail));
}

auto ProxySession::failTransaction() -> void
{
    this->state = SessionState::Failed;
    if (auto connection = std::exchange(this->transaction->connection, nullptr);
        connection != nullptr)
        this->hooks.rollBack(connection);
}

auto ProxySession::endTransaction() -> void
{
    if (!this->transaction)
        return;
    this->stopIdleTimer();
    if (auto connection = std::exchange(this->transaction->connection, nullptr);
        connection != nullptr)
        this->hooks.rollBack(connection);
    this->transaction.reset();
    this->state = SessionState::Idle;
}

auto ProxySession::restartIdleTimer() -> void
{
    this->stopIdleTimer();
    const auto limit = this->transaction->authorisation.policy.transactionIdleLimit;
    if (limit <= Duration::zero() || this->transaction->connection == nullptr)
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
    // The timer may have expired while the next statement arrived.
    if (this->running || this->ended || this->state != SessionState::InTransaction)
        return;
    this->idleTimer = 0;
    this->failTransaction();
    this->transaction->rolledBackForIdleness = true;
}

auto ProxySession::refuseInput(const std::string &reason) -> void
{
    if (this->ended || this->refusedInput)
        return;
    const auto failure = StatementFailure{StatementError::Malformed, reason};
    this->report(StatementReport{.database = this->database, .failure = failure});
    // Sent at once it would look like the response to a statement that may run.
    if (this->running || !this->queued.empty())
        this->refusedInput = failure;
    else
        this->endWith(failure);
}

auto ProxySession::clientDisconnected() -> void
{
    this->end();
}

auto ProxySession::clientFinished() -> void
{
    if (!this->refusedInput)
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
    // A running statement is completed first; its connection must not be used until then.
    if (!this->running)
        this->endTransaction();
    this->queued.clear();
    this->stopIdleTimer();
    this->hooks.close();
}

auto ProxySession::report(StatementReport statementReport) -> void
{
    statementReport.revision = this->hooks.state()->revision();
    this->hooks.report(statementReport);
}

} // namespace auburnrail
