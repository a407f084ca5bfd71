#include <request/RequestMachine.h>

#include <ExchangeReason.h>
#include <RequestFingerprint.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// Added to the wait limit of Await for the way there and back.
constexpr auto AWAIT_MARGIN_MS = std::chrono::milliseconds(50);

auto failureOf(EndpointExchangePhase phase) -> EndpointFailure
{
    if (detail::endedUnsent(phase))
        return EndpointFailure::Unreachable;
    return phase == EndpointExchangePhase::TimedOut ? EndpointFailure::TimedOut
                                                    : EndpointFailure::Lost;
}

} // namespace

auto RequestMachine::buildRequest(EndpointOperation operation) -> EndpointRequest
{
    auto built = EndpointRequest();
    built.exchangeId = absl::StrCat(absl::Hex(this->hooks.random(), absl::kZeroPad16),
                                    absl::Hex(this->hooks.random(), absl::kZeroPad16));
    built.operation = operation;
    built.term = this->facts.group.term;
    built.mode = this->request.mode;
    if (operation == EndpointOperation::Execute)
        built.statement = this->request.statement;
    if (this->isRead() && this->request.transaction.empty())
        built.minimumPosition = this->minimumPosition().value_or(Position());
    if (operation == EndpointOperation::Await)
        built.waitLimit = ReadPlan::WAIT_LIMIT_MS;
    const auto marked = operation == EndpointOperation::Execute && !this->isRead()
                        && this->request.transaction.empty()
                        && !this->request.idempotencyKey.empty();
    if (marked) {
        built.organisation = this->facts.authorisation.organisation;
        built.idempotencyKey = this->request.idempotencyKey;
        built.fingerprint = detail::fingerprintOf(this->request);
    }
    return built;
}

auto RequestMachine::timeLimit(EndpointOperation operation) -> Duration
{
    const auto left = std::max(this->request.deadline - this->hooks.now(), Duration(0));
    if (operation == EndpointOperation::Await)
        return std::min<Duration>(left, ReadPlan::WAIT_LIMIT_MS + AWAIT_MARGIN_MS);
    if (!this->repeatable())
        return left;
    return std::min(left, std::max<Duration>(left / 2, LEAST_TIME_LIMIT_MS));
}

auto RequestMachine::exchange(EndpointOperation operation, RequestHooks::ExchangeDone done) -> void
{
    const auto built = this->buildRequest(operation);
    this->facts.exchangeId = built.exchangeId;
    this->facts.operation = operation;
    this->facts.sentAt = this->hooks.now();
    this->explain(RequestStep::Exchange, std::string(nameOf(operation)));
    this->tables.endpoints->begin(this->facts.endpoint);
    this->hooks.exchange(
        *this->facts.connection, built, this->timeLimit(operation),
        [self = this->shared_from_this(), done = std::move(done)](EndpointExchange end) {
            self->tables.endpoints->end(self->facts.endpoint);
            self->observe(end);
            done(std::move(end));
        });
}

auto RequestMachine::observe(const EndpointExchange &end) -> void
{
    const auto now = this->hooks.now();
    const auto &endpoint = this->facts.endpoint;
    const auto &answer = end.answer;
    if (end.phase != EndpointExchangePhase::Answered) {
        this->tables.endpoints->recordFailure(endpoint, failureOf(end.phase), now);
        return;
    }
    // An answer to another exchange says nothing certain, not even of the endpoint.
    if (answer.exchangeId != this->facts.exchangeId)
        return;
    const auto ran = answer.refusal == EndpointRefusal::None;
    this->tables.endpoints->recordResponse(
        endpoint,
        {.position = answer.position,
         .term = answer.term,
         .primary = answer.primary,
         .leaving = answer.leaving,
         .dataAge = answer.dataAge,
         .sentAt = this->facts.sentAt,
         .responseTime = now - this->facts.sentAt,
         .measuresTime = ran && this->facts.operation != EndpointOperation::Await},
        now);
    if (answer.refusal == EndpointRefusal::Busy)
        this->tables.endpoints->recordFailure(endpoint, EndpointFailure::Overloaded, now);
    if (answer.refusal == EndpointRefusal::Leaving)
        this->tables.endpoints->markLeaving(endpoint);
    if (ran && this->hooks.positionSeen)
        this->hooks.positionSeen(this->facts.group.group, endpoint, answer.position);
}

auto RequestMachine::exchanged(const EndpointExchange &end) -> void
{
    const auto answered = end.phase == EndpointExchangePhase::Answered
                          && end.answer.exchangeId == this->facts.exchangeId;
    if (answered) {
        if (end.answer.refusal == EndpointRefusal::None)
            this->completed(end.answer);
        else
            this->refused(end.answer);
        return;
    }
    this->releaseConnection(false);
    const auto reason = detail::reasonOf(end.phase);
    const auto message = std::string(nameOf(reason));
    if (detail::endedUnsent(end.phase)) {
        this->tryElsewhere(reason, message);
        return;
    }
    this->facts.maybeRan = this->request.kind != RequestKind::Begin;
    if (!this->repeatable()) {
        this->fail(reason, message);
        return;
    }
    if (this->facts.replica)
        this->facts.excluded.push_back(this->facts.endpoint);
    this->retry(reason, message, true);
}

auto RequestMachine::refused(const EndpointAnswer &answer) -> void
{
    // The endpoint answered in order, so the connection is clean.
    this->releaseConnection(answer.refusal != EndpointRefusal::Leaving);
    const auto reason = detail::reasonOf(answer.refusal);
    const auto message = "the endpoint refused: " + std::string(nameOf(answer.refusal));
    switch (answer.refusal) {
    case EndpointRefusal::WrongTerm:
    case EndpointRefusal::NotPrimary:
    case EndpointRefusal::Fenced:
    case EndpointRefusal::Behind:
    case EndpointRefusal::Leaving:
        this->tryElsewhere(reason, message);
        return;
    case EndpointRefusal::Busy:
        if (this->facts.replica)
            this->facts.excluded.push_back(this->facts.endpoint);
        this->retry(reason, message, true);
        return;
    case EndpointRefusal::NoTransaction:
    case EndpointRefusal::IdempotencyConflict:
    case EndpointRefusal::BadStatement:
    case EndpointRefusal::None:
        break;
    }
    this->fail(reason, message);
}

auto RequestMachine::completed(const EndpointAnswer &answer) -> void
{
    if (this->request.kind == RequestKind::Begin) {
        this->pinTransaction(answer);
        return;
    }
    this->releaseConnection(true);
    if (!this->isRead()) {
        this->confirm(answer);
        return;
    }
    const auto age = this->hooks.now() - this->facts.sentAt + answer.dataAge;
    if (this->facts.replica && this->request.maxAge && age > *this->request.maxAge) {
        this->tryElsewhere(ReasonCode::NoFreshReplica, "the replica fell behind the stated age");
        return;
    }
    this->succeed(answer);
}

auto RequestMachine::confirm(const EndpointAnswer &answer) -> void
{
    auto position = answer.position;
    // A duplicate may lie in an earlier term. Such an entry can be on a majority and still be lost
    // to an endpoint that was primary in a term between, as in Raft; one of the current term behind
    // it cannot. Without a later entry in this term, the wait ends unconfirmed.
    if (answer.duplicate && position.term < this->facts.group.term)
        position = Position{.term = this->facts.group.term, .index = position.index + 1};
    this->explain(RequestStep::Confirm, "waiting for a majority");
    this->hooks.awaitReplicas(this->facts.group.group, position, this->request.deadline,
                              [self = this->shared_from_this(), answer](bool onMajority) {
                                  self->confirmed(answer, onMajority);
                              });
}

auto RequestMachine::confirmed(const EndpointAnswer &answer, bool onMajority) -> void
{
    this->facts.lease = this->hooks.holdsLease();
    const auto view = this->hooks.groupOf(this->request.service);
    const auto sameTerm =
        view && view->group == this->facts.group.group && view->term == this->facts.group.term;
    if (onMajority && this->facts.lease && sameTerm) {
        this->succeed(answer);
        return;
    }
    this->facts.maybeRan = true;
    if (!this->facts.lease) {
        this->fail(ReasonCode::LeaseExpired, "the lease ended before the write was acknowledged");
    } else if (sameTerm) {
        this->fail(ReasonCode::ReplicationUnconfirmed, "no majority confirmed the write in time");
    } else if (this->repeatable()) {
        // The new primary has the marker exactly when it has the write.
        this->retry(ReasonCode::TermReplaced, "the primary was replaced", false);
    } else {
        this->fail(ReasonCode::TermReplaced, "the primary was replaced before the acknowledgement");
    }
}

} // namespace auburnrail
