#include "FleetFixture.h"

#include <callers/CallerCodec.h>
#include <http/HttpConnection.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// Sends reads to one entry after the other on keep-alive connections until told to stop, as
/// callers behind a balancer do: a refused connection, or one that the entry closed while it was
/// idle, means another entry. Counts requests that were sent and got no answer.
class SteadyCaller
{
public:
    SteadyCaller(TestFleet &testFleet, std::string callerKey)
        : fleet(testFleet)
        , key(std::move(callerKey))
        , thread([this] { this->run(); })
    {
    }

    ~SteadyCaller()
    {
        this->stopping = true;
        this->thread.join();
    }

    SteadyCaller(const SteadyCaller &) = delete;
    auto operator=(const SteadyCaller &) -> SteadyCaller & = delete;

    std::atomic<int> answered{0};
    std::atomic<int> cut{0};

private:
    auto run() -> void
    {
        auto entry = 0;
        auto connection = std::unique_ptr<HttpConnection>();
        while (!this->stopping) {
            if (connection == nullptr || !connection->isUsable()) {
                entry = entry % 3 + 1;
                connection = std::make_unique<HttpConnection>(
                    this->fleet.address("entry-" + std::to_string(entry)));
            }
            const auto now = std::chrono::steady_clock::now();
            const auto read = request(this->key, AccessMode::Read, "GET bale", 10s);
            const auto result = connection->exchange(encodeCallerRequest(read, now), 15s);
            if (result.phase == ExchangePhase::Answered)
                ++this->answered;
            else if (result.phase != ExchangePhase::Connecting
                     && result.phase != ExchangePhase::Refused)
                ++this->cut;
        }
    }

    TestFleet &fleet;
    std::string key;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace

// Guards against requests that are cut when entries are restarted one after the other.
TEST_CASE("a rolling restart of all entries cuts no request")
{
    auto fleet = TestFleet(fleetSettings());
    fleet.start();
    const auto key = configure(fleet, "shed", 5000, 2000);
    REQUIRE(writeEventually(fleet, "entry-1", key, "PUT bale 1").reason == ReasonCode::Completed);
    auto cut = 0;
    {
        auto callers = std::vector<std::unique_ptr<SteadyCaller>>();
        for (auto index = 0; index < 4; ++index)
            callers.push_back(std::make_unique<SteadyCaller>(fleet, key));
        for (const auto *entry : {"entry-1", "entry-2", "entry-3"}) {
            CHECK(fleet.process(entry).terminate(60s) == 0);
            fleet.startProcess(entry);
            REQUIRE(writeEventually(fleet, entry, key, "PUT bale 2").reason
                    == ReasonCode::Completed);
        }
        for (const auto &caller : callers) {
            CHECK(caller->answered > 0);
            cut += caller->cut;
        }
    }
    CHECK(cut == 0);
}

} // namespace auburnrail
