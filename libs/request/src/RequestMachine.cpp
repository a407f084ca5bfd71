#include <request/RequestMachine.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

namespace {

/// Bounds the shift of a backoff; MAX_BACKOFF_MS is reached earlier.
constexpr auto MAX_BACKOFF_DOUBLINGS = 6;

} // namespace

auto RequestMachine::serve(CallerRequest request, RequestHooks hooks, const RequestTables &tables)
    -> void
{
    std::make_shared<RequestMachine>(std::move(request), std::move(hooks), tables)->start();
}

RequestMachine::RequestMachine(CallerRequest request, RequestHooks hooks,
                               const RequestTables &tables)
    : request(std::move(request))
    , hooks(std::move(hooks))
    , tables(tables)
{
    assert(tables.endpoints != nullptr && "the endpoint table is missing");
    assert(tables.retries != nullptr && "the retry budget is missing");
    assert(tables.transactions != nullptr && "the transaction table is missing");
    assert(tables.sessions != nullptr && "the session codec is missing");
}

auto RequestMachine::start() -> void
{
    if (!this->checkAuthorisation())
        return;
    auto session = this->tables.sessions->open(this->request.sessionToken,
                                               this->state.authorisation.organisation,
                                               this->hooks.wallClock());
    this->state.sessionKnown = session.has_value();
    this->state.session = std::move(session).value_or(SessionToken());
    // Commit and rollback complete admitted work and release its locks, so they don't wait.
    const auto endsTransaction =
        this->request.kind == RequestKind::Commit || this->request.kind == RequestKind::Rollback;
    if (endsTransaction)
        this->startTransactionStep();
    else if (this->state.isolated)
        this->attempt();
    else
        this->admit();
}

auto RequestMachine::checkAuthorisation() -> bool
{
    this->state.lease = this->hooks.holdsLease();
    this->state.isolated = false;
    // A rollback does not depend on shared state, so it needs no lease.
    if (this->state.lease || this->request.kind == RequestKind::Rollback)
        return this->authorise(this->request.key);
    // Without a lease the entry may have missed the withdrawal of a key, so it accepts none.
    const auto mayBeIsolated =
        this->isRead() && this->request.maxAge && this->request.transaction.empty();
    if (mayBeIsolated) {
        const auto authorisation = this->hooks.authorise({}, this->request.service);
        const auto *granted = std::get_if<CallerAuthorisation>(&authorisation);
        if (granted != nullptr && granted->openRoute && granted->isolatedReads) {
            this->state.authorisation = *granted;
            this->state.isolated = true;
            return true;
        }
    }
    this->fail(ReasonCode::LeaseExpired, "this entry holds no lease");
    return false;
}

auto RequestMachine::authorise(const std::string &key) -> bool
{
    const auto authorisation = this->hooks.authorise(key, this->request.service);
    if (const auto *reason = std::get_if<ReasonCode>(&authorisation)) {
        this->explain(RequestStep::Authorise, std::string(nameOf(*reason)));
        this->fail(*reason, "the request is not authorised");
        return false;
    }
    this->state.authorisation = std::get<CallerAuthorisation>(authorisation);
    return true;
}

auto RequestMachine::admit() -> void
{
    const auto &organisation = this->state.authorisation.organisation;
    this->tables.retries->recordRequest(organisation, this->hooks.now());
    this->hooks.admit(organisation, this->request.deadline,
                      [self = this->shared_from_this()](std::optional<RequestRefusal> refusal) {
                          if (!refusal) {
                              self->state.admitted = true;
                              if (self->request.transaction.empty())
                                  self->attempt();
                              else if (self->checkAuthorisation())
                                  self->startTransactionStep();
                              return;
                          }
                          self->explain(RequestStep::Admit, std::string(nameOf(refusal->reason)));
                          auto response = CallerResponse();
                          response.reason = refusal->reason;
                          response.message = std::move(refusal->message);
                          response.retryAfter = refusal->retryAfter;
                          self->finish(std::move(response));
                      });
}

auto RequestMachine::attempt() -> void
{
    if (this->hooks.now() >= this->request.deadline) {
        this->fail(ReasonCode::DeadlineTooClose, "the deadline has passed");
        return;
    }
    // The lease is checked before the group is read: a valid lease covers every change of primary
    // that is in force, so a view that is read afterwards includes them.
    if (!this->checkAuthorisation())
        return;
    // The lease has returned since the request started without one: it needs a rate token first.
    if (!this->state.isolated && !this->state.admitted) {
        this->start();
        return;
    }
    auto view = this->hooks.groupOf(this->request.service);
    if (!view) {
        this->fail(ReasonCode::UnknownService, "no such service");
        return;
    }
    this->state.group = *std::move(view);
    if (this->isRead())
        this->attemptRead();
    else
        this->attemptPrimary();
}

auto RequestMachine::retry(ReasonCode reason, const std::string &message, bool charged) -> void
{
    const auto now = this->hooks.now();
    if (charged) {
        ++this->state.chargedRetries;
        if (this->state.chargedRetries >= MAX_ATTEMPTS) {
            this->fail(reason, message);
            return;
        }
        if (!this->tables.retries->tryRetry(this->state.authorisation.organisation, now)) {
            this->fail(ReasonCode::RetryBudgetSpent, "too many retries; first: " + message);
            return;
        }
    }
    const auto delay = this->jittered(INITIAL_BACKOFF_MS, this->state.retries++);
    if (now + delay >= this->request.deadline) {
        this->fail(reason, message);
        return;
    }
    this->explain(RequestStep::Retry, message);
    this->hooks.after(delay, [self = this->shared_from_this()] { self->attempt(); });
}

auto RequestMachine::tryNextEndpoint(ReasonCode reason, const std::string &message) -> void
{
    if (!this->state.replica) {
        this->retry(reason, message, false);
        return;
    }
    // Each replica is excluded at most once, so the attempts end at the primary.
    this->state.excluded.push_back(this->state.endpoint);
    this->attempt();
}

auto RequestMachine::releaseConnection(bool reusable) -> void
{
    if (!this->state.connection)
        return;
    const auto handle = *std::exchange(this->state.connection, std::nullopt);
    this->hooks.release(handle, reusable);
}

auto RequestMachine::fail(ReasonCode reason, const std::string &message) -> void
{
    auto response = CallerResponse();
    response.outcome = this->state.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    response.reason = reason;
    response.message = message;
    response.endpoint = this->state.endpoint;
    this->finish(std::move(response));
}

auto RequestMachine::succeed(const EndpointResponse &endpointResponse) -> void
{
    auto response = CallerResponse();
    response.outcome = Outcome::Ran;
    response.reason = ReasonCode::Completed;
    response.result = endpointResponse.result;
    if (this->state.transaction && this->request.kind == RequestKind::Begin)
        response.transaction = this->state.transaction->id;
    response.sessionToken = this->sealSession(endpointResponse);
    response.endpoint = this->state.endpoint;
    response.servedByReplica = this->state.replica;
    response.duplicate = endpointResponse.duplicate;
    this->finish(std::move(response));
}

auto RequestMachine::sealSession(const EndpointResponse &response) -> std::string
{
    const auto open = this->state.transaction && this->request.kind != RequestKind::Commit;
    // If the session's position is unknown, that of the replica may precede the session's writes.
    const auto unproven = this->state.replica && !this->minimumPosition();
    if (this->state.isolated || open || unproven)
        return this->state.sessionKnown ? this->request.sessionToken : std::string();
    auto &session = this->state.session;
    session.organisation = this->state.authorisation.organisation;
    session.issuedAt = this->hooks.wallClock();
    session.record(this->state.group.group, response.position);
    return this->tables.sessions->seal(session);
}

auto RequestMachine::finish(CallerResponse response) -> void
{
    assert(!this->state.finished && "the request was responded to twice");
    this->state.finished = true;
    this->releaseConnection(false);
    this->explain(RequestStep::Respond, std::string(nameOf(response.outcome)) + " "
                                            + std::string(nameOf(response.reason)));
    this->hooks.respond(std::move(response));
}

auto RequestMachine::explain(RequestStep step, std::string detail) -> void
{
    if (!this->hooks.explain)
        return;
    this->hooks.explain(RequestRecord{
        .time = this->hooks.now(),
        .requestId = this->request.requestId,
        .organisation = this->state.authorisation.organisation,
        .step = step,
        .group = this->state.group.group,
        .endpoint = this->state.endpoint,
        .term = this->state.group.term,
        .position = this->minimumPosition().value_or(Position()),
        .lease = this->state.lease,
        .detail = std::move(detail),
    });
}

auto RequestMachine::isRead() const -> bool
{
    return this->request.kind == RequestKind::Statement && this->request.mode == AccessMode::Read;
}

auto RequestMachine::repeatable() const -> bool
{
    if (!this->request.transaction.empty())
        return false;
    // If the response to a Begin is lost, its connection is closed, which rolls it back.
    return this->isRead() || this->request.kind == RequestKind::Begin
           || !this->request.idempotencyKey.empty();
}

auto RequestMachine::minimumPosition() const -> std::optional<Position>
{
    if (!this->state.sessionKnown)
        return std::nullopt;
    return this->state.session.positionOf(this->state.group.group);
}

auto RequestMachine::jittered(std::chrono::milliseconds first, int count) -> Duration
{
    const auto base = std::min<Duration>(
        Duration(first) * (1 << std::min(count, MAX_BACKOFF_DOUBLINGS)), MAX_BACKOFF_MS);
    const auto half = base / 2;
    return half
           + Duration(static_cast<std::int64_t>(this->hooks.random()
                                                % static_cast<std::uint64_t>(half.count())));
}

} // namespace auburnrail
