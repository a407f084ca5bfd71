#include <net/StreamListener.h>

#include <catch2/catch.hpp>

#include <future>

namespace auburnrail {

namespace {

constexpr auto WAIT_LIMIT = std::chrono::seconds(5);

auto connectTo(IoPool &pool, std::uint16_t port, const StreamLimits &limits = {})
    -> absl::StatusOr<StreamConnection::Pointer>
{
    auto connected = std::promise<absl::StatusOr<StreamConnection::Pointer>>();
    connectStream(pool, "127.0.0.1:" + std::to_string(port), WAIT_LIMIT, limits,
                  [&](auto result) { connected.set_value(std::move(result)); });
    return connected.get_future().get();
}

} // namespace

// Guards against bytes that get lost or reordered when they arrive in pieces.
TEST_CASE("a connection carries bytes in both directions and tells of its end")
{
    auto pool = IoPool(2);
    auto listener = StreamListener(
        pool, "127.0.0.1:0", StreamLimits(), [](const StreamConnection::Pointer &connection) {
            connection->start(StreamHooks{.received =
                                              [connection](std::string_view bytes) {
                                                  connection->send(std::string(bytes));
                                                  return bytes.size();
                                              },
                                          .closed =
                                              [] {
                                              }});
        });
    REQUIRE(listener.start().ok());
    const auto connection = connectTo(pool, listener.port());
    REQUIRE(connection.ok());
    const auto sent = std::string(300000, 'x') + "end";
    auto received = std::string();
    auto whole = std::promise<void>();
    auto closed = std::promise<void>();
    (*connection)
        ->start(StreamHooks{.received =
                                [&](std::string_view bytes) {
                                    received += bytes;
                                    if (received.size() == sent.size())
                                        whole.set_value();
                                    return bytes.size();
                                },
                            .closed =
                                [&] {
                                    closed.set_value();
                                }});
    (*connection)->send(sent);
    REQUIRE(whole.get_future().wait_for(WAIT_LIMIT) == std::future_status::ready);
    CHECK(received == sent);
    (*connection)->close();
    CHECK(closed.get_future().wait_for(WAIT_LIMIT) == std::future_status::ready);
    pool.stop();
}

// Guards against a peer that sends without end, or never reads, using up the memory.
TEST_CASE("a connection ends at its limits")
{
    auto pool = IoPool(1);
    auto ended = std::promise<void>();
    auto limits = StreamLimits();
    limits.maxInputBytes = 4096;
    auto listener = StreamListener(
        pool, "127.0.0.1:0", limits, [&](const StreamConnection::Pointer &connection) {
            connection->start(StreamHooks{.received = [](std::string_view) { return 0U; },
                                          .closed =
                                              [&] {
                                                  ended.set_value();
                                              }});
        });
    REQUIRE(listener.start().ok());
    const auto connection = connectTo(pool, listener.port());
    REQUIRE(connection.ok());
    (*connection)->send(std::string(20000, 'x'));
    CHECK(ended.get_future().wait_for(WAIT_LIMIT) == std::future_status::ready);
    pool.stop();
}

TEST_CASE("a connection attempt reports why it failed")
{
    auto pool = IoPool(1);
    auto listener = StreamListener(pool, "127.0.0.1:0", StreamLimits(), [](const auto &) {});
    REQUIRE(listener.start().ok());
    const auto port = listener.port();
    listener.stop();
    auto done = std::promise<void>();
    pool.executor().post([&] { done.set_value(); });
    done.get_future().wait();
    CHECK(connectTo(pool, port).status().code() == absl::StatusCode::kUnavailable);
    auto parsed = absl::OkStatus();
    connectStream(pool, "nowhere", WAIT_LIMIT, StreamLimits(),
                  [&](const auto &result) { parsed = result.status(); });
    CHECK(parsed.code() == absl::StatusCode::kInvalidArgument);
    pool.stop();
}

TEST_CASE("timers of the pool run when due unless they are cancelled")
{
    auto pool = IoPool(1);
    auto ran = std::promise<void>();
    auto wrong = std::atomic<bool>(false);
    const auto executor = pool.executor();
    const auto cancelled = executor.postAfter(std::chrono::milliseconds(5), [&] { wrong = true; });
    executor.cancel(cancelled);
    executor.postAfter(std::chrono::milliseconds(20), [&] { ran.set_value(); });
    CHECK(ran.get_future().wait_for(WAIT_LIMIT) == std::future_status::ready);
    CHECK_FALSE(wrong);
    pool.stop();
}

} // namespace auburnrail
