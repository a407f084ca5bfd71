#include <request/RequestMachine.h>

#include <algorithm>

namespace auburnrail {

auto RequestMachine::attemptRead() -> void
{
    const auto now = this->hooks.now();
    auto criteria = EndpointCriteria{.group = this->facts.group.group,
                                     .role = EndpointRole::Replica,
                                     .except = this->facts.excluded};
    auto replicas = std::vector<ReadCandidate>();
    for (const auto &view : this->tables.endpoints->eligible(criteria, now)) {
        replicas.push_back(
            {.endpoint = view.name, .position = view.position, .dataTime = view.dataTime});
    }
    const auto need = ReadRequirements{.minimum = this->minimumPosition(),
                                       .maxStaleness = this->request.maxAge,
                                       .session = !this->request.sessionToken.empty(),
                                       .waited = this->facts.waited};
    auto plan = planRead(need, replicas, now);
    this->explain(RequestStep::PlanRead, std::string(nameOf(plan.target)));
    if (plan.target != ReadTarget::Primary) {
        criteria.only = std::move(plan.endpoints);
        const auto chosen = this->tables.endpoints->choose(criteria, this->hooks.random(), now);
        if (chosen) {
            this->facts.replica = true;
            this->facts.awaitFirst = plan.target == ReadTarget::Wait;
            this->facts.waited = this->facts.waited || this->facts.awaitFirst;
            this->acquire(chosen->name);
            return;
        }
    }
    // Without a lease the entry cannot know which endpoint is the primary.
    if (this->facts.isolated)
        this->fail(ReasonCode::NoFreshReplica, "no replica is fresh enough");
    else
        this->attemptPrimary();
}

auto RequestMachine::attemptPrimary() -> void
{
    this->facts.replica = false;
    this->facts.awaitFirst = false;
    const auto &view = this->facts.group;
    const auto reachable =
        view.serving && !view.primary.empty()
        && !this->tables.endpoints
                ->eligible({.group = view.group, .only = {view.primary}, .ignoreLimit = true},
                           this->hooks.now())
                .empty();
    if (reachable)
        this->acquire(view.primary);
    else
        this->waitForPrimary();
}

auto RequestMachine::waitForPrimary() -> void
{
    const auto now = this->hooks.now();
    const auto delay = this->jittered(FIRST_PRIMARY_WAIT_MS, this->facts.waits++);
    this->explain(RequestStep::WaitForPrimary, "the group has no reachable primary");
    if (now + delay >= this->request.deadline) {
        this->fail(ReasonCode::NoPrimary, "no primary was reachable before the deadline");
        return;
    }
    this->hooks.after(delay, [self = this->shared_from_this()] { self->attempt(); });
}

auto RequestMachine::acquire(const std::string &endpoint) -> void
{
    this->facts.endpoint = endpoint;
    this->hooks.acquire(
        endpoint, this->facts.authorisation.organisation, this->facts.authorisation.weight,
        this->request.deadline,
        [self = this->shared_from_this()](const absl::StatusOr<ConnectionHandle> &handle) {
            self->acquired(handle);
        });
}

auto RequestMachine::acquired(const absl::StatusOr<ConnectionHandle> &handle) -> void
{
    if (!handle.ok()) {
        const auto message = std::string(handle.status().message());
        this->explain(RequestStep::Acquire, message);
        if (absl::IsResourceExhausted(handle.status())) {
            if (this->facts.replica)
                this->tryElsewhere(ReasonCode::EndpointOverloaded, message);
            else
                this->fail(ReasonCode::EndpointOverloaded, message);
            return;
        }
        this->tables.endpoints->recordFailure(this->facts.endpoint, EndpointFailure::Unreachable,
                                              this->hooks.now());
        this->tryElsewhere(ReasonCode::ConnectFailed, message);
        return;
    }
    // The wait for the connection may have been long: nothing is sent on the strength of a lease, a
    // key or a term that has gone since. Until something is sent, the connection stays reusable.
    const auto wasIsolated = this->facts.isolated;
    if (!this->checkRight()) {
        this->hooks.release(*handle, true);
        return;
    }
    const auto view = this->hooks.groupOf(this->request.service);
    const auto moved = view != this->facts.group || wasIsolated != this->facts.isolated;
    if (moved || this->hooks.now() >= this->request.deadline) {
        this->hooks.release(*handle, true);
        this->attempt();
        return;
    }
    this->facts.connection = *handle;
    if (this->facts.awaitFirst) {
        this->awaitReplica();
        return;
    }
    this->exchange(
        this->request.kind == RequestKind::Begin ? EndpointOperation::Begin
                                                 : EndpointOperation::Execute,
        [self = this->shared_from_this()](const EndpointExchange &end) { self->exchanged(end); });
}

auto RequestMachine::awaitReplica() -> void
{
    this->exchange(EndpointOperation::Await, [self = this->shared_from_this()](
                                                 const EndpointExchange &end) {
        const auto reached = end.phase == EndpointExchangePhase::Answered
                             && end.answer.refusal == EndpointRefusal::None
                             && end.answer.position >= self->minimumPosition().value_or(Position());
        if (!reached) {
            self->releaseConnection(end.phase == EndpointExchangePhase::Answered);
            self->tryElsewhere(ReasonCode::NoFreshReplica, "the replica is behind");
            return;
        }
        self->exchange(EndpointOperation::Execute,
                       [self](const EndpointExchange &last) { self->exchanged(last); });
    });
}

} // namespace auburnrail
