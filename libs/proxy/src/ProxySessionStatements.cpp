// Handling of a session's statements by kind. Opening and ending sessions is in ProxySession.cpp.
#include <proxy/ProxySession.h>

#include <proxy/StatementRun.h>

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
        this->respondFailure(StatementError::Malformed, statement.problem);
    }
}

auto ProxySession::reserveState(const std::string &name, const std::string *replaced,
                                const std::string &added) -> bool
{
    const auto freed = replaced == nullptr ? 0 : name.size() + replaced->size();
    const auto wanted = this->stateBytes - freed + name.size() + added.size();
    if (wanted > MAX_STATE_BYTES) {
        this->respondFailure(StatementError::Malformed,
                             "the session's values and prepared statements are too long");
        return false;
    }
    this->stateBytes = wanted;
    return true;
}

auto ProxySession::setValue(const ClientStatement &statement) -> void
{
    const auto found = this->values.find(statement.name);
    const auto *replaced = found == this->values.end() ? nullptr : &found->second;
    if (!this->reserveState(statement.name, replaced, statement.value))
        return;
    this->values.insert_or_assign(statement.name, statement.value);
    this->respond(StatementResponse());
}

auto ProxySession::prepare(const ClientStatement &statement) -> void
{
    const auto found = this->prepared.find(statement.name);
    const auto *replaced = found == this->prepared.end() ? nullptr : &found->second.shape;
    if (!this->reserveState(statement.name, replaced, statement.shape))
        return;
    this->prepared.insert_or_assign(statement.name,
                                    PreparedStatement{statement.shape, statement.writes});
    this->respond(StatementResponse());
}

auto ProxySession::deallocate(const ClientStatement &statement) -> void
{
    const auto found = this->prepared.find(statement.name);
    if (found == this->prepared.end()) {
        this->respondFailure(StatementError::UnknownStatement, statement.name);
        return;
    }
    this->stateBytes -= statement.name.size() + found->second.shape.size();
    this->prepared.erase(found);
    this->respond(StatementResponse());
}

auto ProxySession::beginOperation(
    const ClientStatement &statement,
    const std::function<auto(const OperationAuthorisation &)->void> &admitted) -> void
{
    this->operationSince = std::exchange(this->openingSince, {}).value_or(this->runningSince);
    const auto found = authoriseOperation(*this->hooks.state(), this->database, this->keyId);
    if (const auto *reason = std::get_if<ReasonCode>(&found); reason != nullptr) {
        this->respondRefusal(*reason);
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
                    self->respondFailure(StatementError::Busy,
                                         std::string(nameOf(refusal->reason)));
                else
                    admitted(authorisation);
            });
        });
}

auto ProxySession::begin(const ClientStatement &statement) -> void
{
    if (this->state != SessionState::Idle) {
        this->respondFailure(StatementError::Malformed, "a transaction is open already");
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
        this->respond(StatementResponse());
    });
}

auto ProxySession::rollBack() -> void
{
    if (this->state == SessionState::Idle) {
        this->respondFailure(StatementError::Malformed, "no transaction is open");
        return;
    }
    this->endTransaction();
    this->respond(StatementResponse());
}

auto ProxySession::commit(const ClientStatement &statement) -> void
{
    if (this->state == SessionState::Idle) {
        this->respondFailure(StatementError::Malformed, "no transaction is open");
    } else if (this->state == SessionState::Failed) {
        this->endTransaction();
        this->respondFailure(StatementError::Aborted, "the transaction had failed");
    } else {
        this->runInTransaction(statement);
    }
}

auto ProxySession::forward(const ClientStatement &statement) -> void
{
    if (statement.kind == StatementKind::Execute && !this->prepared.contains(statement.name)) {
        if (this->state != SessionState::Idle)
            this->failTransaction();
        this->respondFailure(StatementError::UnknownStatement, statement.name);
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

auto ProxySession::makeRequest(const ClientStatement &statement) const -> StatementRequest
{
    return StatementRequest{.statement = statement,
                            .prepared = this->findPrepared(statement),
                            .values = this->values,
                            .sessionPosition = this->lastCommit,
                            .arrivedAt = this->runningSince,
                            .operationSince = this->operationSince};
}

auto ProxySession::runSingle(const ClientStatement &statement) -> void
{
    this->beginOperation(statement, [this, statement](const OperationAuthorisation &authorisation) {
        auto request = this->makeRequest(statement);
        request.policy = authorisation.policy;
        request.group = authorisation.group;
        request.organisation = authorisation.organisation;
        request.weight = authorisation.weight;
        const auto run = std::make_shared<StatementRun>(
            this->hooks.statements, request,
            [self = this->shared_from_this(), request](StatementResult result) {
                self->finished(request, std::move(result));
            });
        run->start();
    });
}

auto ProxySession::runInTransaction(const ClientStatement &statement) -> void
{
    auto &open = *this->transaction;
    if (!mayContinue(*this->hooks.state(), open.authorisation, this->keyId)) {
        if (statement.kind == StatementKind::Commit)
            this->endTransaction();
        else
            this->failTransaction();
        this->respondRefusal(ReasonCode::KeyWithdrawn);
        return;
    }
    auto request = this->makeRequest(statement);
    request.policy = open.authorisation.policy;
    request.group = open.authorisation.group;
    request.organisation = open.authorisation.organisation;
    request.weight = open.authorisation.weight;
    request.transactionWrote = open.wrote;
    if (open.connection == nullptr)
        request.opens = open.access;
    request.openingId = open.openingId;
    open.wrote = open.wrote || request.writes();
    const auto run = std::make_shared<StatementRun>(
        this->hooks.statements, request,
        [self = this->shared_from_this(), request](StatementResult result) {
            self->finishedInTransaction(request, result);
            self->finished(request, std::move(result));
        });
    if (open.connection == nullptr)
        run->start();
    else
        run->startInTransaction(std::exchange(open.connection, nullptr));
}

auto ProxySession::finishedInTransaction(const StatementRequest &request, StatementResult &result)
    -> void
{
    this->transaction->connection = result.connection;
    // A commit ends the transaction whatever its outcome. If the server still has the transaction
    // open, it is rolled back on the connection.
    if (request.statement.kind == StatementKind::Commit) {
        this->endTransaction();
        return;
    }
    this->state = SessionState::InTransaction;
    // Without its connection the transaction has ended, whatever the response.
    if (result.response.failure || result.connection == nullptr)
        this->failTransaction();
}

auto ProxySession::finished(const StatementRequest &request, StatementResult result) -> void
{
    const auto committed = !result.response.failure
                           && (request.statement.kind == StatementKind::Commit
                               || (!this->transaction && request.writes()));
    if (committed && result.response.position)
        this->lastCommit = result.response.position;
    this->report(
        StatementReport{.id = request.statement.id,
                        .kind = request.statement.kind,
                        .database = this->database,
                        .organisation = request.organisation,
                        .endpoint = result.endpoint,
                        .attempts = result.attempts,
                        .failure = result.response.failure,
                        .position = result.response.position,
                        .duration = this->hooks.statements.executor.now() - request.arrivedAt});
    if (this->ended) {
        this->endTransaction();
        return;
    }
    this->respond(std::move(result.response));
}

} // namespace auburnrail
