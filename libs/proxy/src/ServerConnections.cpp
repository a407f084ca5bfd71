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
    // A server that has reached its connection limit closes a new connection without a response.
    if (outcome.phase == ServerPhase::Lost)
        return absl::ResourceExhaustedError("the server ended the connection at its start");
    if (outcome.phase != ServerPhase::Responded)
        return absl::UnavailableError(outcome.error);
    if (!outcome.response.failure)
        return absl::OkStatus();
    const auto &failure = *outcome.response.failure;
    const auto text = std::string(nameOf(failure.error)) + " " + failure.detail;
    return failure.error == StatementError::ConnectionLimit ? absl::ResourceExhaustedError(text)
                                                            : absl::UnavailableError(text);
}

} // namespace

ServerConnections::ServerConnections(IoPool &sharedIoPool, EndpointTable &endpointTable,
                                     PrimaryPositions &primaryPositions,
                                     ServerConnectionsHooks connectionsHooks)
    : ioPool(sharedIoPool)
    , endpoints(endpointTable)
    , positions(primaryPositions)
    , hooks(std::move(connectionsHooks))
    , connectionPool(ServerConnectionPoolHooks{
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
    return this->connectionPool;
}

auto ServerConnections::find(const ConnectionHandle &handle) -> PooledConnectionPointer
{
    const RankedLock lock(this->mutex);
    const auto found = this->connections.find(handle);
    return found == this->connections.end() ? nullptr : found->second;
}

auto ServerConnections::extract(const ConnectionHandle &handle) -> PooledConnectionPointer
{
    const RankedLock lock(this->mutex);
    auto row = this->connections.extract(handle);
    return row.empty() ? nullptr : std::move(row.mapped());
}

auto ServerConnections::lease(
    const Placement &placement, const StatementRequest &request,
    std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done) -> void
{
    const auto relayed =
        this->hooks.relay ? this->hooks.relay(placement, request) : PooledConnectionPointer();
    if (relayed == nullptr) {
        this->leaseOwn(placement, connectionRequestFor(placement, request), std::move(done));
        return;
    }
    this->endpoints.begin(placement.endpoint);
    this->count(ServerConnectionEvent::Relayed);
    done(relayed);
}

auto ServerConnections::leaseOwn(
    const Placement &placement, const ConnectionRequest &connectionRequest,
    std::function<auto(absl::StatusOr<PooledConnectionPointer>)->void> done) -> void
{
    this->endpoints.begin(placement.endpoint);
    this->connectionPool.acquire(
        connectionRequest, this->hooks.executor.now(),
        [this, placement, done = std::move(done)](absl::StatusOr<ConnectionHandle> handle) {
            const auto connection = handle.ok() ? this->find(*handle) : nullptr;
            if (connection == nullptr) {
                this->endpoints.end(placement.endpoint);
                done(handle.ok() ? absl::UnavailableError("the connection has ended")
                                 : handle.status());
                return;
            }
            connection->isPrimary = placement.isPrimary;
            connection->term = placement.term;
            done(connection);
        });
}

auto ServerConnections::release(const PooledConnectionPointer &connection, bool reusable) -> void
{
    this->endpoints.end(connection->handle.endpoint);
    if (connection->giveBack)
        connection->giveBack(reusable);
    else
        this->connectionPool.release(connection->handle, reusable, this->hooks.executor.now());
}

auto ServerConnections::rollBack(const PooledConnectionPointer &connection) -> void
{
    connection->exchange(ServerRequest{.operation = ServerOperation::Rollback},
                         ROLLBACK_TIME_LIMIT_MS, [this, connection](const ServerOutcome &outcome) {
                             const auto isClean = outcome.phase == ServerPhase::Responded
                                                  && !outcome.response.failure
                                                  && outcome.response.state == SessionState::Idle;
                             this->release(connection, isClean);
                         });
}

auto ServerConnections::observe(const PooledConnection &connection, const ServerOutcome &outcome)
    -> void
{
    const auto now = this->hooks.executor.now();
    const auto &endpoint = connection.handle.endpoint;
    if (!outcome.concernsServer) {
        this->count(ServerConnectionEvent::RelayFailed);
        return;
    }
    if (outcome.phase != ServerPhase::Responded) {
        this->endpoints.recordFailure(endpoint, failureOf(outcome.phase), now);
        return;
    }
    const auto &failure = outcome.response.failure;
    if (failure && failure->error == StatementError::Busy) {
        this->count(ServerConnectionEvent::Busy);
        this->endpoints.recordFailure(endpoint, EndpointFailure::Overloaded, now);
    }
    const auto position = outcome.response.position.value_or(Position());
    this->endpoints.recordResponse(endpoint,
                                   EndpointObservation{.position = position,
                                                       .term = position.term,
                                                       .primary = connection.isPrimary,
                                                       .sentAt = outcome.sentAt,
                                                       .responseTime = now - outcome.sentAt},
                                   now);
    // Only the primary of the current term knows what has been committed.
    const auto refusedRole = failure && failure->error == StatementError::ReadOnly;
    if (!connection.isPrimary || refusedRole || !outcome.response.position)
        return;
    const auto group = this->hooks.groupOf(endpoint);
    const auto view = this->hooks.groupView(group);
    if (!view.isServedBy(endpoint, connection.term))
        return;
    this->positions.record(group, view.term, position, outcome.sentAt);
    if (this->hooks.primaryNamed)
        this->hooks.primaryNamed(group, view.term, position, outcome.sentAt);
}

auto ServerConnections::open(const ConnectionHandle &handle, const std::string &organisation)
    -> void
{
    const auto address = this->hooks.addressOf(handle.endpoint);
    const auto group = this->hooks.groupOf(handle.endpoint);
    // The endpoint may have been removed between the two questions.
    if (!address || group.empty()) {
        this->connectionPool.openFailed(handle, absl::NotFoundError("the server is not known"),
                                        this->hooks.executor.now());
        return;
    }
    const auto opening =
        ServerOpening{.group = group, .organisation = organisation, .endpoint = handle.endpoint};
    connectStream(
        this->ioPool, *address, OPEN_TIME_LIMIT_MS, StreamLimits(),
        [this, handle, opening](absl::StatusOr<StreamConnection::Pointer> stream) {
            const auto now = this->hooks.executor.now();
            if (!stream.ok()) {
                this->count(ServerConnectionEvent::Failed);
                this->endpoints.recordFailure(handle.endpoint, EndpointFailure::Unreachable, now);
                this->connectionPool.openFailed(
                    handle, absl::UnavailableError(stream.status().message()), now);
                return;
            }
            const auto socket = std::make_shared<detail::ServerSocket>(
                *stream, this->hooks.codec, [this, handle] { this->connectionPool.lost(handle); });
            const auto connection = std::make_shared<PooledConnection>();
            connection->handle = handle;
            connection->exchange = [socket, &carriedRequest = connection->carriedRequest](
                                       const ServerRequest &request, Duration timeLimit,
                                       PooledConnection::Done done) {
                carriedRequest = true;
                socket->exchange(request, timeLimit, std::move(done));
            };
            connection->close = [socket] {
                socket->close();
            };
            socket->start(opening, OPEN_TIME_LIMIT_MS,
                          [this, handle, connection](const ServerOutcome &outcome) {
                              this->opened(handle, connection, outcome);
                          });
        });
}

auto ServerConnections::opened(const ConnectionHandle &handle,
                               const PooledConnectionPointer &connection,
                               const ServerOutcome &outcome) -> void
{
    const auto now = this->hooks.executor.now();
    const auto status = openStatus(outcome);
    if (absl::IsUnavailable(status))
        this->endpoints.recordFailure(handle.endpoint, EndpointFailure::Unreachable, now);
    if (!status.ok()) {
        this->count(absl::IsResourceExhausted(status) ? ServerConnectionEvent::Full
                                                      : ServerConnectionEvent::Failed);
        connection->close();
        this->connectionPool.openFailed(handle, status, now);
        return;
    }
    {
        const RankedLock lock(this->mutex);
        this->connections.emplace(handle, connection);
    }
    this->count(ServerConnectionEvent::Opened);
    this->connectionPool.opened(handle, now);
}

auto ServerConnections::close(const ConnectionHandle &handle) -> void
{
    const auto connection = this->extract(handle);
    if (connection == nullptr)
        return;
    if (!connection->carriedRequest)
        this->count(ServerConnectionEvent::Unused);
    connection->close();
}

auto ServerConnections::probeDue(TimePoint now) -> void
{
    for (const auto &view : this->endpoints.probeDue(now)) {
        if (!this->hooks.relayProbe || !this->hooks.relayProbe(view))
            this->probe(view, {});
    }
}

auto ServerConnections::probe(const EndpointView &view,
                              std::function<auto(bool responded)->void> done) -> void
{
    const auto group = this->hooks.groupView(view.group);
    const auto placement = Placement{.endpoint = view.name,
                                     .isPrimary = group.serving && group.primary == view.name,
                                     .term = group.term};
    const auto request =
        ConnectionRequest{.endpoint = view.name,
                          .anyOrganisation = true,
                          .deadline = this->hooks.executor.now() + PROBE_TIME_LIMIT_MS};
    this->leaseOwn(placement, request,
                   [this, done = std::move(done)](absl::StatusOr<PooledConnectionPointer> leased) {
                       if (!leased.ok()) {
                           // A failure to open is recorded already; a full server is alive.
                           if (done)
                               done(false);
                           return;
                       }
                       const auto connection = *leased;
                       this->count(ServerConnectionEvent::Probe);
                       connection->exchange(
                           ServerRequest{.operation = ServerOperation::Status}, PROBE_TIME_LIMIT_MS,
                           [this, connection, done](const ServerOutcome &outcome) {
                               this->observe(*connection, outcome);
                               this->release(connection, outcome.phase == ServerPhase::Responded);
                               if (done)
                                   done(outcome.phase == ServerPhase::Responded);
                           });
                   });
}

auto ServerConnections::count(ServerConnectionEvent event) const -> void
{
    if (this->hooks.count)
        this->hooks.count(event);
}

auto ServerConnections::advance(TimePoint now) -> void
{
    this->connectionPool.advance(now, IDLE_LIMIT_MS);
}

} // namespace auburnrail
