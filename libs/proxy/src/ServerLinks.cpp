#include <proxy/ServerConnections.h>

#include "detail/ServerSocket.h"

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail {

namespace {

auto failureOf(ServerPhase phase) -> EndpointFailure
{
    switch (phase) {
    case ServerPhase::TimedOut:
        return EndpointFailure::TimedOut;
    case ServerPhase::NotSent:
        return EndpointFailure::Unreachable;
    default:
        return EndpointFailure::Lost;
    }
}

auto openStatus(const ServerOutcome &outcome) -> absl::Status
{
    // A server that has no connection left ends a new one without a word.
    if (outcome.phase == ServerPhase::Lost)
        return absl::ResourceExhaustedError("the server ended the connection at its start");
    if (outcome.phase != ServerPhase::Answered)
        return absl::UnavailableError(outcome.error);
    if (!outcome.answer.failure)
        return absl::OkStatus();
    const auto &failure = *outcome.answer.failure;
    const auto text = std::string(nameOf(failure.error)) + " " + failure.detail;
    return failure.error == StatementError::ConnectionLimit ? absl::ResourceExhaustedError(text)
                                                            : absl::UnavailableError(text);
}

} // namespace

ServerConnections::ServerConnections(IoPool &connectionPool, EndpointTable &endpointTable,
                                     PrimaryPositions &primaryPositions,
                                     ServerConnectionsHooks linkHooks)
    : ioPool(connectionPool)
    , endpoints(endpointTable)
    , positions(primaryPositions)
    , hooks(std::move(linkHooks))
    , linkPool(ServerConnectionPoolHooks{
          .open = [this](const ConnectionHandle &handle,
                         const std::string &organisation) { this->open(handle, organisation); },
          .close =
              [this](const ConnectionHandle &handle) {
                  this->close(handle);
              }})
{
}

auto ServerConnections::pool() -> ServerConnectionPool &
{
    return this->linkPool;
}

auto ServerConnections::find(const ConnectionHandle &handle) -> PooledConnectionPointer
{
    const RankedLock lock(this->mutex);
    const auto found = this->links.find(handle);
    return found == this->links.end() ? nullptr : found->second;
}

auto ServerConnections::take(const ConnectionHandle &handle) -> PooledConnectionPointer
{
    const RankedLock lock(this->mutex);
    auto row = this->links.extract(handle);
    return row.empty() ? nullptr : std::move(row.mapped());
}

auto ServerConnections::lease(
    const Placement &placement, const StatementRequest &order,
    std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done) -> void
{
    this->endpoints.begin(placement.endpoint);
    const auto wish = ConnectionRequest{.endpoint = placement.endpoint,
                                        .organisation = order.organisation,
                                        .priority = order.policy.priority,
                                        .objectiveEnd = order.objectiveEnd(),
                                        .deadline = order.deadline()};
    this->linkPool.acquire(
        wish, this->hooks.executor.now(),
        [this, placement, done = std::move(done)](absl::StatusOr<ConnectionHandle> handle) {
            const auto link = handle.ok() ? this->find(*handle) : nullptr;
            if (link == nullptr) {
                this->endpoints.end(placement.endpoint);
                done(handle.ok() ? absl::UnavailableError("the connection has ended")
                                 : handle.status());
                return;
            }
            link->isPrimary = placement.isPrimary;
            link->term = placement.term;
            done(link);
        });
}

auto ServerConnections::release(const PooledConnectionPointer &link, bool reusable) -> void
{
    this->endpoints.end(link->handle.endpoint);
    this->linkPool.release(link->handle, reusable, this->hooks.executor.now());
}

auto ServerConnections::rollBack(const PooledConnectionPointer &link) -> void
{
    link->exchange(ServerRequest{.operation = ServerOperation::Rollback}, ROLLBACK_TIME_LIMIT_MS,
                   [this, link](const ServerOutcome &outcome) {
                       const auto isClean = outcome.phase == ServerPhase::Answered
                                            && !outcome.answer.failure
                                            && outcome.answer.state == SessionState::Idle;
                       this->release(link, isClean);
                   });
}

auto ServerConnections::observe(const PooledConnection &link, const ServerOutcome &outcome) -> void
{
    const auto now = this->hooks.executor.now();
    const auto &endpoint = link.handle.endpoint;
    if (outcome.phase != ServerPhase::Answered) {
        this->endpoints.recordFailure(endpoint, failureOf(outcome.phase), now);
        return;
    }
    const auto &failure = outcome.answer.failure;
    if (failure && failure->error == StatementError::Busy)
        this->endpoints.recordFailure(endpoint, EndpointFailure::Overloaded, now);
    const auto position = outcome.answer.position.value_or(Position());
    this->endpoints.recordResponse(endpoint,
                                   EndpointObservation{.position = position,
                                                       .term = position.term,
                                                       .primary = link.isPrimary,
                                                       .sentAt = outcome.sentAt,
                                                       .responseTime = now - outcome.sentAt},
                                   now);
    // Only the primary of the term that is in force says what has been committed.
    const auto refusedRole = failure && failure->error == StatementError::ReadOnly;
    if (!link.isPrimary || refusedRole || !outcome.answer.position)
        return;
    const auto group = this->hooks.groupOf(endpoint);
    const auto view = this->hooks.groupView(group);
    if (view.serving && view.primary == endpoint && view.term == link.term)
        this->positions.record(group, view.term, position, outcome.sentAt);
}

auto ServerConnections::open(const ConnectionHandle &handle, const std::string &organisation)
    -> void
{
    const auto address = this->hooks.addressOf(handle.endpoint);
    if (!address) {
        this->linkPool.openFailed(handle, absl::NotFoundError("the server is not known"),
                                  this->hooks.executor.now());
        return;
    }
    const auto opening = ServerOpening{.group = this->hooks.groupOf(handle.endpoint),
                                       .organisation = organisation,
                                       .endpoint = handle.endpoint};
    connectStream(
        this->ioPool, *address, OPEN_TIME_LIMIT_MS, StreamLimits(),
        [this, handle, opening](absl::StatusOr<StreamConnection::Pointer> stream) {
            const auto now = this->hooks.executor.now();
            if (!stream.ok()) {
                this->endpoints.recordFailure(handle.endpoint, EndpointFailure::Unreachable, now);
                this->linkPool.openFailed(handle, absl::UnavailableError(stream.status().message()),
                                          now);
                return;
            }
            const auto socket = std::make_shared<detail::ServerSocket>(
                *stream, this->hooks.codec, [this, handle] { this->linkPool.lost(handle); });
            const auto link = std::make_shared<PooledConnection>();
            link->handle = handle;
            link->exchange = [socket](const ServerRequest &request, Duration timeLimit,
                                      PooledConnection::Done done) {
                socket->exchange(request, timeLimit, std::move(done));
            };
            link->close = [socket] {
                socket->close();
            };
            socket->start(opening, OPEN_TIME_LIMIT_MS,
                          [this, handle, link](const ServerOutcome &outcome) {
                              this->opened(handle, link, outcome);
                          });
        });
}

auto ServerConnections::opened(const ConnectionHandle &handle, const PooledConnectionPointer &link,
                               const ServerOutcome &outcome) -> void
{
    const auto now = this->hooks.executor.now();
    const auto status = openStatus(outcome);
    if (absl::IsUnavailable(status))
        this->endpoints.recordFailure(handle.endpoint, EndpointFailure::Unreachable, now);
    if (!status.ok()) {
        link->close();
        this->linkPool.openFailed(handle, status, now);
        return;
    }
    {
        const RankedLock lock(this->mutex);
        this->links.emplace(handle, link);
    }
    this->linkPool.opened(handle, now);
}

auto ServerConnections::close(const ConnectionHandle &handle) -> void
{
    if (const auto link = this->take(handle); link != nullptr)
        link->close();
}

auto ServerConnections::probeDue(TimePoint now) -> void
{
    for (const auto &view : this->endpoints.probeDue(now))
        this->probe(view);
}

auto ServerConnections::probe(const EndpointView &view) -> void
{
    const auto group = this->hooks.groupView(view.group);
    const auto placement = Placement{.endpoint = view.name,
                                     .isPrimary = group.serving && group.primary == view.name,
                                     .term = group.term};
    auto order = StatementRequest{.arrivedAt = this->hooks.executor.now()};
    order.policy.statementTimeout = PROBE_TIME_LIMIT_MS;
    this->lease(placement, order, [this](absl::StatusOr<PooledConnectionPointer> leased) {
        if (!leased.ok())
            return; // A failure to open was recorded; a full server is alive.
        const auto link = *leased;
        link->exchange(ServerRequest{.operation = ServerOperation::Status}, PROBE_TIME_LIMIT_MS,
                       [this, link](const ServerOutcome &outcome) {
                           this->observe(*link, outcome);
                           this->release(link, outcome.phase == ServerPhase::Answered);
                       });
    });
}

auto ServerConnections::advance(TimePoint now) -> void
{
    this->linkPool.advance(now, IDLE_LIMIT_MS);
}

} // namespace auburnrail
