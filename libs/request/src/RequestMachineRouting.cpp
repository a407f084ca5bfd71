#include <request/RequestMachine.h>

#include <algorithm>

namespace auburnrail {

auto RequestMachine::attemptRead() -> void
{
    const auto now = this->hooks.now();
    auto criteria = EndpointCriteria{.group = this->state.group.group,
                                     .role = EndpointRole::Replica,
                                     .except = this->state.excluded};
    auto replicas = std::vector<ReadCandidate>();
    for (const auto &view : this->tables.endpoints->eligible(criteria, now)) {
        replicas.push_back(
            {.endpoint = view.name, .position = view.position, .dataTime = view.dataTime});
    }
    const auto need = ReadRequirements{.minimum = this->minimumPosition(),
                                       .maxStaleness = this->request.maxAge,
                                       .session = !this->request.sessionToken.empty(),
                                       .waited = this->state.waited};
    auto plan = planRead(need, replicas, now);
    this->explain(RequestStep::PlanRead, std::string(nameOf(plan.target)));
    if (plan.target != ReadTarget::Primary) {
        criteria.only = std::move(plan.endpoints);
        const auto chosen = this->tables.endpoints->choose(criteria, this->hooks.random(), now);
        if (chosen) {
            this->state.replica = true;
            this->state.awaitFirst = plan.target == ReadTarget::Wait;
            this->state.waited = this->state.waited || this->state.awaitFirst;
            this->acquire(chosen->name);
            return;
        }
    }
    // Without a lease the entry cannot know which endpoint is the primary.
    if (this->state.isolated)
        this->fail(ReasonCode::NoFreshReplica, "no replica is fresh enough");
    else
        this->attemptPrimary();
}

auto RequestMachine::attemptPrimary() -> void
{
    this->state.replica = false;
    this->state.awaitFirst = false;
    const auto &view = this->state.group;
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
    const auto delay = this->jittered(INITIAL_PRIMARY_WAIT_MS, this->state.waits++);
    this->explain(RequestStep::WaitForPrimary, "the group has no reachable primary");
    if (now + delay >= this->request.deadline) {
        this->fail(ReasonCode::NoPrimary, "no primary was reachable before the deadline");
        return;
    }
    this->hooks.after(delay, [self = this->shared_from_this()] { self->attempt(); });
}

auto RequestMachine::acquire(const std::string &endpoint) -> void
{
    this->state.endpoint = endpoint;
    this->hooks.acquire(
        endpoint, this->state.authorisation.organisation, this->state.authorisation.weight,
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
            if (this->state.replica)
                this->tryNextEndpoint(ReasonCode::EndpointOverloaded, message);
            else
                this->fail(ReasonCode::EndpointOverloaded, message);
            return;
        }
        this->tables.endpoints->recordFailure(this->state.endpoint, EndpointFailure::Unreachable,
                                              this->hooks.now());
        this->tryNextEndpoint(ReasonCode::ConnectFailed, message);
        return;
    }
    // Acquiring the connection may have taken long, so lease, key and term are checked again before
    // anything is sent. Until something is sent, the connection stays reusable.
    const auto wasIsolated = this->state.isolated;
    if (!this->checkAuthorisation()) {
        this->hooks.release(*handle, true);
        return;
    }
    const auto view = this->hooks.groupOf(this->request.service);
    const auto viewChanged = view != this->state.group || wasIsolated != this->state.isolated;
    if (viewChanged || this->hooks.now() >= this->request.deadline) {
        this->hooks.release(*handle, true);
        this->attempt();
        return;
    }
    this->state.connection = *handle;
    if (this->state.awaitFirst) {
        this->awaitReplica();
        return;
    }
    this->exchange(this->request.kind == RequestKind::Begin ? EndpointOperation::Begin
                                                            : EndpointOperation::Execute,
                   [self = this->shared_from_this()](const EndpointExchange &result) {
                       self->exchanged(result);
                   });
}

auto RequestMachine::awaitReplica() -> void
{
    this->exchange(EndpointOperation::Await, [self = this->shared_from_this()](
                                                 const EndpointExchange &result) {
        const auto reached =
            result.phase == EndpointExchangePhase::Answered
            && result.response.refusal == EndpointRefusal::None
            && result.response.position >= self->minimumPosition().value_or(Position());
        if (!reached) {
            self->releaseConnection(result.phase == EndpointExchangePhase::Answered);
            self->tryNextEndpoint(ReasonCode::NoFreshReplica, "the replica is behind");
            return;
        }
        self->exchange(EndpointOperation::Execute,
                       [self](const EndpointExchange &last) { self->exchanged(last); });
    });
}

} // namespace auburnrail
