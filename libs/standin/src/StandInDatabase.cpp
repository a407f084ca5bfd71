#include <standin/StandInDatabase.h>

#include <standin/Statement.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <compare>

namespace auburnrail {

namespace {

/// Data age of a server that has never caught up.
constexpr auto UNKNOWN_AGE = std::chrono::hours(24);

} // namespace

StandInDatabase::StandInDatabase(StandInDatabaseSettings databaseSettings)
    : settings(std::move(databaseSettings))
{
    const RankedLock lock(this->mutex);
    if (this->settings.primary) {
        this->role = StandInRole::Primary;
        this->rebuilding = false;
        this->term = 1;
    } else if (!this->settings.primaryAddress.empty()) {
        this->role = StandInRole::Replica;
        this->term = 1;
        this->source = GroupEndpoint{.name = "", .address = this->settings.primaryAddress};
    }
}

auto StandInDatabase::run(std::uint64_t connection, const EndpointRequest &request, TimePoint now)
    -> EndpointResponse
{
    const RankedLock lock(this->mutex);
    auto answer = EndpointResponse();
    answer.exchangeId = request.exchangeId;
    answer.refusal = this->checkTerm(request);
    if (answer.refusal == EndpointRefusal::None)
        answer.refusal = this->checkRole(request);
    answer.position = this->log.last();
    if (answer.refusal == EndpointRefusal::None)
        this->perform(connection, request, answer);
    answer.term = this->term;
    answer.primary = this->role == StandInRole::Primary;
    answer.leaving = this->leaving;
    if (!answer.primary)
        answer.dataAge = this->freshAt ? now - *this->freshAt : Duration(UNKNOWN_AGE);
    return answer;
}

auto StandInDatabase::isConnected(std::uint64_t connection) const -> bool
{
    const RankedLock lock(this->mutex);
    return this->sessions.contains(connection);
}

auto StandInDatabase::closed(std::uint64_t connection) -> void
{
    const RankedLock lock(this->mutex);
    this->sessions.erase(connection);
}

auto StandInDatabase::setLeaving(bool isLeaving) -> void
{
    const RankedLock lock(this->mutex);
    this->leaving = isLeaving;
}

auto StandInDatabase::checkTerm(const EndpointRequest &request) const -> EndpointRefusal
{
    switch (request.operation) {
    case EndpointOperation::Connect:
    case EndpointOperation::Status:
    case EndpointOperation::Rollback:
        return EndpointRefusal::None;
    case EndpointOperation::Execute:
    case EndpointOperation::Begin:
    case EndpointOperation::Commit:
    case EndpointOperation::Await:
        break;
    }
    return request.term == this->term ? EndpointRefusal::None : EndpointRefusal::WrongTerm;
}

auto StandInDatabase::checkRole(const EndpointRequest &request) const -> EndpointRefusal
{
    const auto runs = request.operation == EndpointOperation::Execute
                      || request.operation == EndpointOperation::Begin;
    if (!runs)
        return EndpointRefusal::None;
    if (request.mode == AccessMode::Write && this->role != StandInRole::Primary)
        return this->role == StandInRole::Fenced ? EndpointRefusal::Fenced
                                                 : EndpointRefusal::NotPrimary;
    return std::is_lt(this->log.last() <=> request.minimumPosition) ? EndpointRefusal::Behind
                                                                    : EndpointRefusal::None;
}

auto StandInDatabase::open(std::uint64_t connection) -> EndpointRefusal
{
    if (this->sessions.contains(connection))
        return EndpointRefusal::None;
    if (this->leaving)
        return EndpointRefusal::Leaving;
    if (static_cast<std::int64_t>(this->sessions.size()) >= this->settings.connectionLimit)
        return EndpointRefusal::Busy;
    this->sessions.emplace(connection, StandInSession());
    return EndpointRefusal::None;
}

auto StandInDatabase::perform(std::uint64_t connection, const EndpointRequest &request,
                              EndpointResponse &answer) -> void
{
    switch (request.operation) {
    case EndpointOperation::Status:
        return;
    case EndpointOperation::Await:
        if (std::is_lt(this->log.last() <=> request.minimumPosition))
            answer.refusal = EndpointRefusal::Behind;
        return;
    case EndpointOperation::Connect:
    case EndpointOperation::Execute:
    case EndpointOperation::Begin:
        answer.refusal = this->open(connection);
        break;
    case EndpointOperation::Commit:
    case EndpointOperation::Rollback:
        if (!this->sessions.contains(connection))
            answer.refusal = EndpointRefusal::NoTransaction;
        break;
    }
    if (answer.refusal != EndpointRefusal::None || request.operation == EndpointOperation::Connect)
        return;
    auto &session = this->sessions[connection];
    const auto ends = request.operation == EndpointOperation::Commit
                      || request.operation == EndpointOperation::Rollback;
    const auto isAborted = session.transaction && session.transaction->aborted
                           && request.operation != EndpointOperation::Rollback;
    if (isAborted || (ends && !session.transaction)) {
        answer.refusal = EndpointRefusal::NoTransaction;
    } else if (request.operation == EndpointOperation::Execute) {
        this->execute(session, request, answer);
    } else if (request.operation == EndpointOperation::Begin) {
        // A second transaction on the connection would mix with the first.
        if (session.transaction)
            answer.refusal = EndpointRefusal::BadStatement;
        else
            session.transaction.emplace();
    } else if (request.operation == EndpointOperation::Commit) {
        this->commit(session, request, answer);
    }
    if (ends)
        session.transaction.reset();
}

auto StandInDatabase::execute(StandInSession &session, const EndpointRequest &request,
                              EndpointResponse &answer) -> void
{
    const auto statement = Statement::parse(request.statement);
    if (!statement || (statement->verb != StatementVerb::Get && request.mode == AccessMode::Read)) {
        answer.refusal = EndpointRefusal::BadStatement;
        return;
    }
    auto &transaction = session.transaction;
    const auto staged = transaction && transaction->values.contains(statement->key);
    const auto old = staged ? transaction->values[statement->key] : this->log.value(statement->key);
    auto result = statement->applyTo(old);
    if (statement->verb == StatementVerb::Get) {
        answer.result = std::move(result);
    } else if (transaction) {
        transaction->statements.push_back(request.statement);
        transaction->values[statement->key] = result;
        transaction->lastResult = result;
        answer.result = std::move(result);
    } else {
        this->write(request, {request.statement}, std::move(result), answer);
    }
}

auto StandInDatabase::commit(StandInSession &session, const EndpointRequest &request,
                             EndpointResponse &answer) -> void
{
    auto &transaction = *session.transaction;
    if (transaction.statements.empty())
        return;
    if (this->role != StandInRole::Primary) {
        answer.refusal = this->role == StandInRole::Fenced ? EndpointRefusal::Fenced
                                                           : EndpointRefusal::NotPrimary;
        return;
    }
    this->write(request, std::move(transaction.statements), std::move(transaction.lastResult),
                answer);
}

auto StandInDatabase::write(const EndpointRequest &request, std::vector<std::string> statements,
                            std::string result, EndpointResponse &answer) -> void
{
    if (!request.idempotencyKey.empty()) {
        const auto *marker = this->log.findMarker(request.organisation, request.idempotencyKey);
        if (marker != nullptr && marker->fingerprint != request.fingerprint) {
            answer.refusal = EndpointRefusal::IdempotencyConflict;
            return;
        }
        if (marker != nullptr) {
            answer.duplicate = true;
            answer.result = marker->result;
            // An entry of an earlier term is safe only once an entry of this term is on a majority:
            // until then a log without it may still rank higher in a fence.
            answer.position = std::is_lt(marker->position <=> this->termStart) ? this->termStart
                                                                               : marker->position;
            return;
        }
    }
    auto entry = GroupLogEntry();
    entry.statements = std::move(statements);
    if (!request.idempotencyKey.empty()) {
        entry.organisation = request.organisation;
        entry.idempotencyKey = request.idempotencyKey;
        entry.fingerprint = request.fingerprint;
        entry.result = result;
    }
    answer.result = std::move(result);
    answer.position = this->log.append(std::move(entry), this->term);
}

} // namespace auburnrail
