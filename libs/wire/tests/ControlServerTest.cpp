#include <wire/ControlClient.h>
#include <wire/ControlServer.h>

#include <core/MonotonicClock.h>
#include <core/RankedLock.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <iterator>
#include <memory>
#include <thread>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto TIME_LIMIT = Duration(20s);

auto threadsOfProcess() -> std::ptrdiff_t
{
    return std::distance(std::filesystem::directory_iterator("/proc/self/task"),
                         std::filesystem::directory_iterator());
}

auto always() -> bool
{
    return true;
}

/// Holds every heartbeat until it is released.
class HoldingServer
{
public:
    HoldingServer()
        : server("127.0.0.1:0", {.heartbeat =
                                     [this](const Heartbeat &, auto done) {
                                         const RankedLock lock(this->mutex);
                                         this->held.push_back(std::move(done));
                                     },
                                 .takeTokens =
                                     [this](const TokenRequest &request) {
                                         if (request.demands.empty())
                                             throw std::runtime_error("no demand");
                                         std::this_thread::sleep_for(this->delay.load());
                                         return TokenResponse{.granting = true, .grants = {}};
                                     }})
    {
        REQUIRE(this->server.start().ok());
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(this->server.port());
    }

    auto heldCount() -> std::size_t
    {
        const RankedLock lock(this->mutex);
        return this->held.size();
    }

    auto releaseAll() -> void
    {
        auto released = decltype(this->held)();
        {
            const RankedLock lock(this->mutex);
            released.swap(this->held);
        }
        for (const auto &done : released)
            done(HeartbeatAnswer{.entries = 7});
    }

    std::atomic<Duration> delay{Duration::zero()};

private:
    RankedMutex mutex{LockRank::HeldResponses};
    std::vector<std::function<auto(const HeartbeatAnswer &)->void>> held ABSL_GUARDED_BY(mutex);
    ControlServer server;
};

auto demand() -> TokenRequest
{
    return TokenRequest{.holder = {"entry-1", 1}, .demands = {{.organisation = "o", .tokens = 1}}};
}

} // namespace

// Guards against a leader with a thread for each entry, which ends when the system has no room for
// another one.
TEST_CASE("held heartbeats occupy no threads of the server")
{
    constexpr auto ENTRIES = std::size_t(40);
    auto server = HoldingServer();
    const auto before = threadsOfProcess();
    auto answered = std::atomic<std::size_t>(0);
    auto entries = std::vector<std::thread>();
    for (auto index = std::size_t(0); index < ENTRIES; ++index) {
        entries.emplace_back([&] {
            auto client = ControlClient(server.address());
            const auto answer = client.heartbeat(Heartbeat(), TIME_LIMIT);
            if (answer.ok() && answer->entries == 7)
                ++answered;
        });
    }
    const auto deadline = monotonicNow() + TIME_LIMIT;
    while (server.heldCount() < ENTRIES && monotonicNow() < deadline)
        std::this_thread::sleep_for(5ms);
    CHECK(server.heldCount() == ENTRIES);
    CHECK(threadsOfProcess() == before + static_cast<std::ptrdiff_t>(ENTRIES));
    server.releaseAll();
    for (auto &entry : entries)
        entry.join();
    CHECK(answered == ENTRIES);
}

// Guards against an exception of one request that ends the process or harms other connections.
TEST_CASE("a request that fails ends its connection only")
{
    auto server = HoldingServer();
    auto failing = ControlClient(server.address());
    auto other = ControlClient(server.address());
    CHECK(other.takeTokens(demand(), TIME_LIMIT, always).ok());
    CHECK(absl::IsUnavailable(failing.takeTokens(TokenRequest(), TIME_LIMIT, always).status()));
    CHECK(other.takeTokens(demand(), TIME_LIMIT, always).ok());
    CHECK(failing.takeTokens(demand(), TIME_LIMIT, always).ok());
}

// Guards against a token request that waits for a leader which has been replaced.
TEST_CASE("the wait for tokens ends when the response is not wanted any more")
{
    auto server = HoldingServer();
    server.delay = Duration(2s);
    auto client = ControlClient(server.address());
    const auto begin = monotonicNow();
    const auto isWanted = [begin] {
        return monotonicNow() < begin + 200ms;
    };
    CHECK(absl::IsUnavailable(client.takeTokens(demand(), TIME_LIMIT, isWanted).status()));
    CHECK(monotonicNow() - begin < 2s);
    server.delay = Duration::zero();
    CHECK(client.takeTokens(demand(), TIME_LIMIT, always).ok());
}

} // namespace auburnrail
