// The statements of a session, each by its kind; the life of the session is in ProxySession.cpp.
#include <proxy/ProxySession.h>

#include <proxy/StatementRun.h>

#include "SessionRefusal.h"

#include <utility>

namespace auburnrail {

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
    this->operationSince = std::exchange(this->openingSince, {}).value_or(this->runningSince);
    const auto found = authoriseOperation(*this->hooks.state(), this->database, this->keyId);
    if (const auto *reason = std::get_if<ReasonCode>(&found); reason != nullptr) {
        auto failure = detail::refusalOf(*reason);
        this->answerFailure(failure.error, std::move(failure.detail));
        return;
    }
    const auto &authorisation = std::get<OperationAuthorisation>(found);
    this->runningOrganisation = authorisation.organisation;
    if (authorisation.organisation.empty()) {
        admitted(authorisation);
        return;
    }
    const auto &policy = authorisation.policy;
    this->hooks.admit(
        AdmissionRequest{.organisation = authorisation.organisation,
                         .objectiveEnd = this->operationSince + policy.latencyObjective,
                         .deadline = this->runningSince + policy.statementTimeout},
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
                          .arrivedAt = this->runningSince,
                          .operationSince = this->operationSince};
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

} // namespace auburnrail
