#include <wire/ConsensusTransport.h>

#include <core/RankedCondition.h>
#include <core/RankedLock.h>

#include <catch2/catch.hpp>

#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// Terms of the messages that a transport received.
class Inbox
{
public:
    auto add(Term term) -> void
    {
        const RankedLock lock(this->mutex);
        this->terms.push_back(term);
        this->arrived.notifyAll();
    }

    auto awaitCount(std::size_t count) -> std::vector<Term>
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        const RankedLock lock(this->mutex);
        while (this->terms.size() < count && this->arrived.waitUntil(this->mutex, deadline)) {
        }
        return this->terms;
    }

private:
    RankedMutex mutex{LockRank::Log};
    RankedCondition arrived;
    std::vector<Term> terms ABSL_GUARDED_BY(mutex);
};

auto receiveInto(Inbox &inbox) -> ConsensusTransportHooks
{
    return {.received = [&inbox](const Message &message) { inbox.add(message.term); },
            .shouldDeliver = {},
            .delay = {}};
}

auto message(Term term) -> Message
{
    return {{"m1", 0}, {"m2", 0}, term, JoinRequest()};
}

auto addressOf(const ConsensusTransport &transport) -> std::string
{
    return "127.0.0.1:" + std::to_string(transport.port());
}

} // namespace

// Guards against messages that are lost on a working link, and test hooks without effect.
TEST_CASE("messages arrive in order, unless the hooks drop or delay them")
{
    auto inbox = Inbox();
    auto receiver = ConsensusTransport({.address = "127.0.0.1:0"}, receiveInto(inbox));
    REQUIRE(receiver.start().ok());
    auto unused = Inbox();
    auto hooks = receiveInto(unused);
    auto calls = 0;
    hooks.shouldDeliver = [&](const MemberName &, const MemberName &to) {
        return to == "m2" && ++calls != 2;
    };
    hooks.delay = [](const MemberName &, const MemberName &) {
        return Duration(50ms);
    };
    auto sender = ConsensusTransport({.address = "127.0.0.1:0"}, hooks);
    REQUIRE(sender.addMember("m2", addressOf(receiver)).ok());
    const auto begin = std::chrono::steady_clock::now();
    for (const auto term : {1, 2, 3})
        sender.send(message(static_cast<Term>(term)));
    CHECK(inbox.awaitCount(2) == std::vector<Term>{1, 3});
    CHECK(std::chrono::steady_clock::now() - begin >= 50ms);
}

// Guards against a sender that does not return to a member which was away, or that queues without
// limit meanwhile.
TEST_CASE("a sender reconnects, and keeps the latest messages only")
{
    auto inbox = Inbox();
    auto unused = Inbox();
    auto first = std::make_unique<ConsensusTransport>(
        ConsensusTransportSettings{.address = "127.0.0.1:0"}, receiveInto(unused));
    REQUIRE(first->start().ok());
    const auto address = addressOf(*first);
    auto sender = ConsensusTransport(
        {.address = "127.0.0.1:0", .queueLimit = 4, .minBackoff = 300ms}, receiveInto(unused));
    REQUIRE(sender.addMember("m2", address).ok());
    sender.send(message(1));
    REQUIRE(unused.awaitCount(1).size() == 1);
    first->stop();
    for (auto term = Term(2); term <= 100; ++term)
        sender.send(message(term));
    auto second = ConsensusTransport({.address = address}, receiveInto(inbox));
    REQUIRE(second.start().ok());
    // A message is lost with each attempt to connect that fails, so sending goes on until one
    // arrives.
    for (auto term = Term(101); inbox.awaitCount(0).empty() && term < 200; ++term) {
        sender.send(message(term));
        std::this_thread::sleep_for(20ms);
    }
    const auto arrived = inbox.awaitCount(1);
    REQUIRE_FALSE(arrived.empty());
    CHECK(arrived.front() > 90);
}

TEST_CASE("addresses that can't be used are refused")
{
    auto inbox = Inbox();
    auto transport = ConsensusTransport({.address = "127.0.0.1:0"}, receiveInto(inbox));
    REQUIRE(transport.start().ok());
    CHECK(transport.addMember("m2", "nowhere").code() == absl::StatusCode::kInvalidArgument);
    auto other = ConsensusTransport({.address = addressOf(transport)}, receiveInto(inbox));
    CHECK(other.start().code() == absl::StatusCode::kUnavailable);
}

} // namespace auburnrail
