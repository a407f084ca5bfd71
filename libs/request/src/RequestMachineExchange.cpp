#include <request/RequestMachine.h>

#include <ExchangeReason.h>
#include <RequestFingerprint.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// Added to the wait limit of Await for the network round trip.
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
    built.term = this->state.group.term;
    built.mode = this->request.mode;
    if (operation == EndpointOperation::Execute)
        built.statement = this->request.statement;
    if (this->isRead() && this->request.transaction.empty())
        built.minimumPosition = this->minimumPosition().value_or(Position());
    if (operation == EndpointOperation::Await)
        built.waitLimit = ReadPlan::WAIT_LIMIT_MS;
    const auto needsMarker = operation == EndpointOperation::Execute && !this->isRead()
                             && this->request.transaction.empty()
                             && !this->request.idempotencyKey.empty();
    if (needsMarker) {
        built.organisation = this->state.authorisation.organisation;
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
    return std::min(left, std::max<Duration>(left / 2, MIN_TIME_LIMIT_MS));
}

auto RequestMachine::exchange(EndpointOperation operation, RequestHooks::ExchangeDone done) -> void
{
    const auto built = this->buildRequest(operation);
    this->state.exchangeId = built.exchangeId;
    this->state.operation = operation;
    this->state.sentAt = this->hooks.now();
    this->explain(RequestStep::Exchange, std::string(nameOf(operation)));
    this->tables.endpoints->begin(this->state.endpoint);
    this->hooks.exchange(
        *this->state.connection, built, this->timeLimit(operation),
        [self = this->shared_from_this(), done = std::move(done)](EndpointExchange result) {
            self->tables.endpoints->end(self->state.endpoint);
            self->observe(result);
            done(std::move(result));
        });
}

auto RequestMachine::observe(const EndpointExchange &result) -> void
{
    const auto now = this->hooks.now();
    const auto &endpoint = this->state.endpoint;
    const auto &response = result.response;
    if (result.phase != EndpointExchangePhase::Answered) {
        this->tables.endpoints->recordFailure(endpoint, failureOf(result.phase), now);
        return;
    }
    // A response to another exchange is not trusted, not even as to the state of the endpoint.
    if (response.exchangeId != this->state.exchangeId)
        return;
    const auto ran = response.refusal == EndpointRefusal::None;
    this->tables.endpoints->recordResponse(
        endpoint,
        {.position = response.position,
         .term = response.term,
         .primary = response.primary,
         .leaving = response.leaving,
         .dataAge = response.dataAge,
         .sentAt = this->state.sentAt,
         .responseTime = now - this->state.sentAt,
         .measuresTime = ran && this->state.operation != EndpointOperation::Await},
        now);
    if (response.refusal == EndpointRefusal::Busy)
        this->tables.endpoints->recordFailure(endpoint, EndpointFailure::Overloaded, now);
    if (response.refusal == EndpointRefusal::Leaving)
        this->tables.endpoints->markLeaving(endpoint);
    if (ran && this->hooks.positionSeen)
        this->hooks.positionSeen(this->state.group.group, endpoint, response.position);
}

auto RequestMachine::exchanged(const EndpointExchange &result) -> void
{
    const auto responded = result.phase == EndpointExchangePhase::Answered
                           && result.response.exchangeId == this->state.exchangeId;
    if (responded) {
        if (result.response.refusal == EndpointRefusal::None)
            this->completed(result.response);
        else
            this->refused(result.response);
        return;
    }
    this->releaseConnection(false);
    const auto reason = detail::reasonOf(result.phase);
    const auto message = std::string(nameOf(reason));
    if (detail::endedUnsent(result.phase)) {
        this->tryNextEndpoint(reason, message);
        return;
    }
    this->state.mayHaveRun = this->request.kind != RequestKind::Begin;
    if (!this->repeatable()) {
        this->fail(reason, message);
        return;
    }
    if (this->state.replica)
        this->state.excluded.push_back(this->state.endpoint);
    this->retry(reason, message, true);
}

auto RequestMachine::refused(const EndpointResponse &response) -> void
{
    // The exchange completed, so the connection is in a known state.
    this->releaseConnection(response.refusal != EndpointRefusal::Leaving);
    const auto reason = detail::reasonOf(response.refusal);
    const auto message = "the endpoint refused: " + std::string(nameOf(response.refusal));
    switch (response.refusal) {
    case EndpointRefusal::WrongTerm:
    case EndpointRefusal::NotPrimary:
    case EndpointRefusal::Fenced:
    case EndpointRefusal::Behind:
    case EndpointRefusal::Leaving:
        this->tryNextEndpoint(reason, message);
        return;
    case EndpointRefusal::Busy:
        if (this->state.replica)
            this->state.excluded.push_back(this->state.endpoint);
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

auto RequestMachine::completed(const EndpointResponse &response) -> void
{
    if (this->request.kind == RequestKind::Begin) {
        this->pinTransaction(response);
        return;
    }
    this->releaseConnection(true);
    if (!this->isRead()) {
        this->confirm(response);
        return;
    }
    const auto age = this->hooks.now() - this->state.sentAt + response.dataAge;
    if (this->state.replica && this->request.maxAge && age > *this->request.maxAge) {
        this->tryNextEndpoint(ReasonCode::NoFreshReplica, "the replica fell behind the stated age");
        return;
    }
    this->succeed(response);
}

auto RequestMachine::confirm(const EndpointResponse &response) -> void
{
    auto position = response.position;
    // A duplicate may have a position in an earlier term. As in Raft, such an entry can be on a
    // majority and still be overwritten by a primary of an intermediate term, unless an entry of
    // the current term follows it on a majority. Without one, the wait ends unconfirmed.
    if (response.duplicate && position.term < this->state.group.term)
        position = Position{.term = this->state.group.term, .index = position.index + 1};
    this->explain(RequestStep::Confirm, "waiting for a majority");
    this->hooks.awaitReplicas(this->state.group.group, position, this->request.deadline,
                              [self = this->shared_from_this(), response](bool onMajority) {
                                  self->confirmed(response, onMajority);
                              });
}

auto RequestMachine::confirmed(const EndpointResponse &response, bool onMajority) -> void
{
    auto sameTerm = false;
    const auto decide = [&] {
        this->state.lease = this->hooks.holdsLease();
        const auto view = this->hooks.groupOf(this->request.service);
        sameTerm =
            view && view->group == this->state.group.group && view->term == this->state.group.term;
        return onMajority && this->state.lease && sameTerm;
    };
    const auto isAcknowledged =
        this->hooks.acknowledge
            ? this->hooks.acknowledge(this->state.group.group, response.position, decide)
            : decide();
    if (isAcknowledged) {
        this->succeed(response);
        return;
    }
    this->state.mayHaveRun = true;
    if (!this->state.lease) {
        this->fail(ReasonCode::LeaseExpired, "the lease ended before the write was acknowledged");
    } else if (sameTerm) {
        this->fail(ReasonCode::ReplicationUnconfirmed, "no majority confirmed the write in time");
    } else if (this->repeatable()) {
        // The new primary has the idempotency marker if and only if it has the write.
        this->retry(ReasonCode::TermReplaced, "the primary was replaced", false);
    } else {
        this->fail(ReasonCode::TermReplaced, "the primary was replaced before the acknowledgement");
    }
}

} // namespace auburnrail
