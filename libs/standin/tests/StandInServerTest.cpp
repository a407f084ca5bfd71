#include <endpoint/ControlCodec.h>
#include <endpoint/EndpointCodec.h>
#include <http/HttpConnection.h>
#include <standin/StandInServer.h>

#include <core/WorkerPool.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// One server on a port chosen by the system.
class RunningServer
{
public:
    explicit RunningServer(const std::string &primaryAddress = "", Duration lag = {})
        : server(StandInSettings{.endpoint = primaryAddress.empty() ? "a" : "b",
                                 .address = "127.0.0.1:0",
                                 .primary = primaryAddress.empty(),
                                 .primaryAddress = primaryAddress,
                                 .connectionLimit = 4,
                                 .connectDelay = 10ms,
                                 .announceInterval = 1s,
                                 .lag = lag,
                                 .pullWait = 50ms},
                 pool.executor(), StandInServerHooks{.crash = [this] {
                     this->crashed = true;
                 }})
    {
        REQUIRE(this->server.start().ok());
    }

    ~RunningServer()
    {
        this->server.release();
        this->pool.stop();
        this->server.stop();
    }

    RunningServer(const RunningServer &) = delete;
    auto operator=(const RunningServer &) -> RunningServer & = delete;

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(this->server.port());
    }

    auto setFault(FaultKind kind, bool on, Duration length = {},
                  std::vector<std::string> peers = {}) const -> void
    {
        const auto message = encodeFaultCommand(FaultCommand{.exchangeId = "f",
                                                             .kind = kind,
                                                             .on = on,
                                                             .count = on ? 1 : 0,
                                                             .length = length,
                                                             .peers = std::move(peers)});
        REQUIRE(exchangeOnce(this->address(), message, 1s).phase == ExchangePhase::Answered);
    }

    auto run(const std::string &id, const std::string &statement, Duration timeout = 1s) const
        -> ExchangeResult
    {
        const auto write = !statement.starts_with("GET");
        return exchangeOnce(this->address(),
                            encodeEndpointRequest(EndpointRequest{.exchangeId = id,
                                                                  .term = 1,
                                                                  .mode = write ? AccessMode::Write
                                                                                : AccessMode::Read,
                                                                  .statement = statement}),
                            timeout);
    }

    bool crashed = false;

private:
    WorkerPool pool{4};
    StandInServer server;
};

} // namespace

// Guards against faults that are not injected, which would make the proxy's fault tests pass for
// nothing.
TEST_CASE("a server injects the faults that it is told to")
{
    const auto server = RunningServer();
    CHECK(decodeEndpointResponse(server.run("1", "PUT k 1").response)->result == "1");

    server.setFault(FaultKind::Truncated, true);
    CHECK(server.run("2", "GET k").phase == ExchangePhase::Truncated);
    server.setFault(FaultKind::Crossed, true);
    CHECK(decodeEndpointResponse(server.run("3", "GET k").response)->exchangeId == "2");
    server.setFault(FaultKind::Late, true, 200ms);
    CHECK(server.run("4", "GET k", 50ms).phase == ExchangePhase::TimedOut);

    server.setFault(FaultKind::Freeze, true);
    CHECK(server.run("5", "APPEND k 2", 50ms).phase == ExchangePhase::TimedOut);
    server.setFault(FaultKind::Freeze, false);
    server.setFault(FaultKind::Cut, true, {}, {"127.0.0.1"});
    CHECK(server.run("6", "APPEND k 3", 50ms).phase == ExchangePhase::TimedOut);
    server.setFault(FaultKind::Cut, false, {}, {"127.0.0.1"});
    // The frozen exchange ran when the server resumed; the one of the cut peer did not.
    CHECK(decodeEndpointResponse(server.run("7", "GET k").response)->result == "12");

    server.setFault(FaultKind::Record, true);
    std::ignore = server.run("8", "GET recorded");
    const auto received =
        exchangeOnce(server.address(), {.method = "GET", .target = "/fault/received"}, 1s);
    CHECK(received.response.body.find("GET recorded") != std::string::npos);
    server.setFault(FaultKind::Leaving, true);
    CHECK(decodeEndpointResponse(server.run("9", "GET k").response)->refusal
          == EndpointRefusal::Leaving);
    server.setFault(FaultKind::Crash, true);
    CHECK(server.crashed);
}

// Guards against acknowledgements of writes that no replica holds, and against ages below the lag.
TEST_CASE("a replica pulls with its lag and wakes those that wait for a position")
{
    const auto primary = RunningServer();
    const auto replica = RunningServer(primary.address(), 300ms);
    const auto written = decodeEndpointResponse(primary.run("1", "PUT k 1").response);
    REQUIRE(written.ok());
    auto wait = EndpointRequest{.exchangeId = "w",
                                .operation = EndpointOperation::Await,
                                .term = 1,
                                .minimumPosition = written->position,
                                .waitLimit = 1ms};
    const auto awaitAnswer = [&] {
        return decodeEndpointResponse(
            exchangeOnce(replica.address(), encodeEndpointRequest(wait), 3s).response);
    };
    CHECK(awaitAnswer()->refusal == EndpointRefusal::Behind);
    wait.waitLimit = 2s;
    CHECK(awaitAnswer()->refusal == EndpointRefusal::None);
    const auto read = decodeEndpointResponse(replica.run("2", "GET k").response);
    CHECK(read->result == "1");
    CHECK(read->dataAge >= 50ms); // The pull wait; directly after the write it is the lag.
    CHECK(read->dataAge < 2s);
}

} // namespace auburnrail
