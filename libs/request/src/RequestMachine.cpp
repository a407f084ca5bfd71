#include <request/RequestMachine.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

namespace {

/// Doublings of a backoff; LONGEST_BACKOFF_MS is reached before.
constexpr auto LARGEST_SHIFT = 6;

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
    if (!this->checkRight())
        return;
    auto session = this->tables.sessions->open(this->request.sessionToken,
                                               this->facts.authorisation.organisation,
                                               this->hooks.wallClock());
    this->facts.sessionKnown = session.has_value();
    this->facts.session = std::move(session).value_or(SessionToken());
    // Commit and rollback end work that was admitted, and free its locks; a wait would hold them.
    const auto ends =
        this->request.kind == RequestKind::Commit || this->request.kind == RequestKind::Rollback;
    if (ends)
        this->startTransactionStep();
    else if (this->facts.isolated)
        this->attempt();
    else
        this->admit();
}

auto RequestMachine::checkRight() -> bool
{
    this->facts.lease = this->hooks.holdsLease();
    this->facts.isolated = false;
    // A rollback does not depend on shared state.
    if (this->facts.lease || this->request.kind == RequestKind::Rollback)
        return this->authorise(this->request.key);
    // The entry could not have learned of the withdrawal of a key, so none is looked at.
    const auto mayBeIsolated =
        this->isRead() && this->request.maxAge && this->request.transaction.empty();
    if (mayBeIsolated) {
        const auto right = this->hooks.authorise({}, this->request.service);
        const auto *granted = std::get_if<CallerAuthorisation>(&right);
        if (granted != nullptr && granted->openRoute && granted->isolatedReads) {
            this->facts.authorisation = *granted;
            this->facts.isolated = true;
            return true;
        }
    }
    this->fail(ReasonCode::LeaseExpired, "this entry holds no lease");
    return false;
}

auto RequestMachine::authorise(const std::string &key) -> bool
{
    const auto right = this->hooks.authorise(key, this->request.service);
    if (const auto *reason = std::get_if<ReasonCode>(&right)) {
        this->explain(RequestStep::Authorise, std::string(nameOf(*reason)));
        this->fail(*reason, "the request is not authorised");
        return false;
    }
    this->facts.authorisation = std::get<CallerAuthorisation>(right);
    return true;
}

auto RequestMachine::admit() -> void
{
    const auto &organisation = this->facts.authorisation.organisation;
    this->tables.retries->recordRequest(organisation, this->hooks.now());
    this->hooks.admit(organisation, this->request.deadline,
                      [self = this->shared_from_this()](std::optional<RequestRefusal> refusal) {
                          if (!refusal) {
                              self->facts.admitted = true;
                              if (self->request.transaction.empty())
                                  self->attempt();
                              else if (self->checkRight())
                                  self->startTransactionStep();
                              return;
                          }
                          self->explain(RequestStep::Admit, std::string(nameOf(refusal->reason)));
                          auto answer = CallerAnswer();
                          answer.reason = refusal->reason;
                          answer.message = std::move(refusal->message);
                          answer.retryAfter = refusal->retryAfter;
                          self->finish(std::move(answer));
                      });
}

auto RequestMachine::attempt() -> void
{
    if (this->hooks.now() >= this->request.deadline) {
        this->fail(ReasonCode::DeadlineTooClose, "the deadline has passed");
        return;
    }
    // The lease is checked before the group is read: a lease that holds names every change of
    // primary that is in force, so a view read after it is not older.
    if (!this->checkRight())
        return;
    // A request that began without a lease is no longer isolated: it needs a rate token first.
    if (!this->facts.isolated && !this->facts.admitted) {
        this->start();
        return;
    }
    auto view = this->hooks.groupOf(this->request.service);
    if (!view) {
        this->fail(ReasonCode::UnknownService, "no such service");
        return;
    }
    this->facts.group = *std::move(view);
    if (this->isRead())
        this->attemptRead();
    else
        this->attemptPrimary();
}

auto RequestMachine::retry(ReasonCode reason, const std::string &message, bool charged) -> void
{
    const auto now = this->hooks.now();
    if (charged) {
        ++this->facts.charged;
        if (this->facts.charged >= MAX_ATTEMPTS) {
            this->fail(reason, message);
            return;
        }
        if (!this->tables.retries->tryRetry(this->facts.authorisation.organisation, now)) {
            this->fail(ReasonCode::RetryBudgetSpent, "too many retries; first: " + message);
            return;
        }
    }
    const auto delay = this->jittered(FIRST_BACKOFF_MS, this->facts.retries++);
    if (now + delay >= this->request.deadline) {
        this->fail(reason, message);
        return;
    }
    this->explain(RequestStep::Retry, message);
    this->hooks.after(delay, [self = this->shared_from_this()] { self->attempt(); });
}

auto RequestMachine::tryElsewhere(ReasonCode reason, const std::string &message) -> void
{
    if (!this->facts.replica) {
        this->retry(reason, message, false);
        return;
    }
    // Each replica is excluded at most once, so this ends at the primary.
    this->facts.excluded.push_back(this->facts.endpoint);
    this->attempt();
}

auto RequestMachine::releaseConnection(bool reusable) -> void
{
    if (!this->facts.connection)
        return;
    const auto handle = *std::exchange(this->facts.connection, std::nullopt);
    this->hooks.release(handle, reusable);
}

auto RequestMachine::fail(ReasonCode reason, const std::string &message) -> void
{
    auto answer = CallerAnswer();
    answer.outcome = this->facts.maybeRan ? Outcome::Unknown : Outcome::NotRun;
    answer.reason = reason;
    answer.message = message;
    answer.endpoint = this->facts.endpoint;
    this->finish(std::move(answer));
}

auto RequestMachine::succeed(const EndpointAnswer &endpointAnswer) -> void
{
    auto answer = CallerAnswer();
    answer.outcome = Outcome::Ran;
    answer.reason = ReasonCode::Completed;
    answer.result = endpointAnswer.result;
    if (this->facts.transaction && this->request.kind == RequestKind::Begin)
        answer.transaction = this->facts.transaction->id;
    answer.sessionToken = this->sealSession(endpointAnswer);
    answer.endpoint = this->facts.endpoint;
    answer.servedByReplica = this->facts.replica;
    answer.duplicate = endpointAnswer.duplicate;
    this->finish(std::move(answer));
}

auto RequestMachine::sealSession(const EndpointAnswer &answer) -> std::string
{
    const auto open = this->facts.transaction && this->request.kind != RequestKind::Commit;
    // Without the session's own position, that of a replica could be before its writes.
    const auto unproven = this->facts.replica && !this->minimumPosition();
    if (this->facts.isolated || open || unproven)
        return this->facts.sessionKnown ? this->request.sessionToken : std::string();
    auto &session = this->facts.session;
    session.organisation = this->facts.authorisation.organisation;
    session.issuedAt = this->hooks.wallClock();
    session.record(this->facts.group.group, answer.position);
    return this->tables.sessions->seal(session);
}

auto RequestMachine::finish(CallerAnswer answer) -> void
{
    assert(!this->facts.finished && "the request was answered twice");
    this->facts.finished = true;
    this->releaseConnection(false);
    this->explain(RequestStep::Answer,
                  std::string(nameOf(answer.outcome)) + " " + std::string(nameOf(answer.reason)));
    this->hooks.answer(std::move(answer));
}

auto RequestMachine::explain(RequestStep step, std::string detail) -> void
{
    if (!this->hooks.explain)
        return;
    this->hooks.explain(RequestRecord{
        .time = this->hooks.now(),
        .requestId = this->request.requestId,
        .organisation = this->facts.authorisation.organisation,
        .step = step,
        .group = this->facts.group.group,
        .endpoint = this->facts.endpoint,
        .term = this->facts.group.term,
        .position = this->minimumPosition().value_or(Position()),
        .lease = this->facts.lease,
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
    // The connection of a Begin whose answer is lost is closed, which rolls it back.
    return this->isRead() || this->request.kind == RequestKind::Begin
           || !this->request.idempotencyKey.empty();
}

auto RequestMachine::minimumPosition() const -> std::optional<Position>
{
    if (!this->facts.sessionKnown)
        return std::nullopt;
    return this->facts.session.positionOf(this->facts.group.group);
}

auto RequestMachine::jittered(std::chrono::milliseconds first, int count) -> Duration
{
    const auto base = std::min<Duration>(Duration(first) * (1 << std::min(count, LARGEST_SHIFT)),
                                         LONGEST_BACKOFF_MS);
    const auto half = base / 2;
    return half
           + Duration(static_cast<std::int64_t>(this->hooks.random()
                                                % static_cast<std::uint64_t>(half.count())));
}

} // namespace auburnrail
