#ifndef AUBURNRAIL_PROXY_TESTS_PRIMARYFLEET_H
#define AUBURNRAIL_PROXY_TESTS_PRIMARYFLEET_H

#include <SimulatedServer.h>

#include <proxy/ServerConnectionPool.h>
#include <proxy/StatementRun.h>

#include <core/VirtualScheduler.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnrail::testing {

/// Entries with their connection pools in front of one primary, on virtual time. Statements of many
/// organisations arrive at random entries; a client repeats one that was refused, twice at most.
class PrimaryFleet
{
public:
    static constexpr auto ENTRIES = std::size_t(89);
    static constexpr auto ORGANISATIONS = 87;
    static constexpr auto ONE_WAY_DELAY = Duration(std::chrono::milliseconds(8));
    static constexpr auto STATEMENT_TIMEOUT = Duration(std::chrono::milliseconds(1000));
    static constexpr auto CLIENT_RETRIES = 2;
    static constexpr auto CLIENT_PAUSE = Duration(std::chrono::milliseconds(100));

    explicit PrimaryFleet(std::uint32_t seed);

    /// Lets statements arrive at random, `perSecond` on average, for `length`.
    auto offer(double perSecond, Duration length) -> void;

    /// Lets `count` statements arrive now.
    auto offerAtOnce(std::size_t count) -> void;

    /// Statements that arrived since the last call, and how many of them were served by now.
    struct Served
    {
        std::size_t offered = 0;
        std::size_t served = 0;
        std::size_t openings = 0; ///< Connections that the server accepted meanwhile.
    };
    [[nodiscard]] auto takeCounts() -> Served;

private:
    struct Entry
    {
        std::unique_ptr<ServerConnectionPool> pool;
        std::map<ConnectionHandle, PooledConnectionPointer> connections;
    };

    auto addEntry() -> void;
    auto open(Entry &entry, const ConnectionHandle &handle) -> void;
    auto close(Entry &entry, const ConnectionHandle &handle) -> void;
    [[nodiscard]] auto makeConnection(const ConnectionHandle &handle) -> PooledConnectionPointer;
    [[nodiscard]] auto hooksOf(Entry &entry) -> StatementHooks;
    auto send(int retriesLeft) -> void;
    auto advanceLater() -> void;

    VirtualScheduler scheduler;
    Executor executor;
    SimulatedServer server;
    std::mt19937 random;
    std::vector<std::unique_ptr<Entry>> entries;
    Served counts;
    std::size_t openingsBefore = 0;
};

} // namespace auburnrail::testing

#endif
