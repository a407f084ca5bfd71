#include <PrimaryFleet.h>

#include <proxy/ConnectionShare.h>

#include <utility>

namespace auburnrail::testing {

namespace {

constexpr auto ENDPOINT = "primary";
constexpr auto ADVANCE_INTERVAL = Duration(std::chrono::milliseconds(20));

auto succeeded(bool isDone) -> ServerOutcome
{
    auto outcome = ServerOutcome{.phase = ServerPhase::Responded};
    if (!isDone)
        outcome.response.failure = StatementFailure{StatementError::Busy, ENDPOINT};
    return outcome;
}

} // namespace

PrimaryFleet::PrimaryFleet(std::uint32_t seed)
    : executor(scheduler.executor())
    , server(executor)
    , random(seed)
{
    this->scheduler.runFor(std::chrono::hours(1));
    for (auto index = std::size_t(0); index < ENTRIES; ++index)
        this->addEntry();
    this->advanceLater();
}

auto PrimaryFleet::addEntry() -> void
{
    this->entries.push_back(std::make_unique<Entry>());
    auto &entry = *this->entries.back();
    entry.pool = std::make_unique<ServerConnectionPool>(ServerConnectionPoolHooks{
        .open = [this, &entry](const ConnectionHandle &handle,
                               const std::string &) { this->open(entry, handle); },
        .close =
            [this, &entry](const ConnectionHandle &handle) {
                this->close(entry, handle);
            }});
    const auto inputs = ConnectionShareInputs{
        .connections = SimulatedServer::CONNECTIONS, .entries = ENTRIES, .isPrimary = true};
    entry.pool->setLimit(ENDPOINT, connectionShare(inputs), idlePolicyFor(inputs));
}

auto PrimaryFleet::open(Entry &entry, const ConnectionHandle &handle) -> void
{
    // The connection itself takes one round trip, and so does its opening message.
    this->executor.postAfter(3 * ONE_WAY_DELAY, [this, &entry, handle] {
        this->server.connect([this, &entry, handle](bool isOpen) {
            this->executor.postAfter(ONE_WAY_DELAY, [this, &entry, handle, isOpen] {
                const auto now = this->scheduler.now();
                if (!isOpen) {
                    entry.pool->openFailed(handle, absl::ResourceExhaustedError("full"), now);
                    return;
                }
                entry.connections.emplace(handle, this->makeConnection(handle));
                entry.pool->opened(handle, now);
            });
        });
    });
}

auto PrimaryFleet::close(Entry &entry, const ConnectionHandle &handle) -> void
{
    entry.connections.erase(handle);
    this->executor.postAfter(ONE_WAY_DELAY, [this] { this->server.disconnect(); });
}

auto PrimaryFleet::makeConnection(const ConnectionHandle &handle) -> PooledConnectionPointer
{
    auto connection = std::make_shared<PooledConnection>();
    connection->handle = handle;
    connection->isPrimary = true;
    connection->term = 1;
    connection->exchange = [this](const ServerRequest &, Duration, PooledConnection::Done done) {
        this->executor.postAfter(ONE_WAY_DELAY, [this, done = std::move(done)] {
            this->server.run([this, done](bool isDone) {
                this->executor.postAfter(ONE_WAY_DELAY,
                                         [done, isDone] { done(succeeded(isDone)); });
            });
        });
    };
    return connection;
}

auto PrimaryFleet::hooksOf(Entry &entry) -> StatementHooks
{
    return StatementHooks{
        .executor = this->executor,
        .holdsLease = [](TimePoint) { return true; },
        .isCurrentPrimary = [](const std::string &, const PooledConnection &) { return true; },
        .awaitLease = [](TimePoint, const std::function<auto(bool)->void> &done) { done(true); },
        .place = [](const PlacementRequest &, TimePoint) -> std::optional<Placement> {
            return Placement{.endpoint = ENDPOINT, .isPrimary = true, .term = 1};
        },
        .lease =
            [this, &entry](const Placement &placement, const StatementRequest &request, auto done) {
                entry.pool->acquire(connectionRequestFor(placement, request), this->scheduler.now(),
                                    [&entry, done](absl::StatusOr<ConnectionHandle> handle) {
                                        if (handle.ok())
                                            done(entry.connections.at(*handle));
                                        else
                                            done(handle.status());
                                    });
            },
        .release =
            [this, &entry](const PooledConnectionPointer &connection, bool reusable) {
                entry.pool->release(connection->handle, reusable, this->scheduler.now());
            },
        .observe =
            [](const PooledConnection &, const ServerOutcome &) {
            }};
}

auto PrimaryFleet::send(int retriesLeft) -> void
{
    auto request = StatementRequest();
    request.statement = ClientStatement{.id = "s", .kind = StatementKind::Read, .text = "READ a"};
    request.policy.consistency = ReadConsistency::Primary;
    request.policy.statementTimeout = STATEMENT_TIMEOUT;
    request.policy.latencyObjective = STATEMENT_TIMEOUT;
    request.group = "g";
    request.organisation = std::to_string(this->random() % ORGANISATIONS);
    request.arrivedAt = this->scheduler.now();
    request.operationSince = request.arrivedAt;
    auto &entry = *this->entries[this->random() % ENTRIES];
    std::make_shared<StatementRun>(
        this->hooksOf(entry), request,
        [this, retriesLeft](const StatementResult &result) {
            if (!result.response.failure)
                ++this->counts.served;
            else if (retriesLeft > 0)
                this->executor.postAfter(CLIENT_PAUSE,
                                         [this, retriesLeft] { this->send(retriesLeft - 1); });
        })
        ->start();
}

auto PrimaryFleet::offer(double perSecond, Duration length) -> void
{
    const auto end = this->scheduler.now() + length;
    auto gap = std::exponential_distribution<double>(perSecond);
    auto arrival = this->scheduler.now();
    while (true) {
        arrival +=
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->random)));
        if (arrival > end)
            break;
        this->scheduler.runUntil(arrival);
        this->offerAtOnce(1);
    }
    this->scheduler.runUntil(end);
}

auto PrimaryFleet::offerAtOnce(std::size_t count) -> void
{
    this->counts.offered += count;
    for (auto i = std::size_t(0); i < count; ++i)
        this->send(CLIENT_RETRIES);
}

auto PrimaryFleet::takeCounts() -> Served
{
    this->counts.openings = this->server.openings - this->openingsBefore;
    this->openingsBefore = this->server.openings;
    return std::exchange(this->counts, {});
}

auto PrimaryFleet::advanceLater() -> void
{
    this->executor.postAfter(ADVANCE_INTERVAL, [this] {
        for (auto &entry : this->entries)
            entry->pool->advance(this->scheduler.now(), std::chrono::seconds(1));
        this->advanceLater();
    });
}

} // namespace auburnrail::testing
