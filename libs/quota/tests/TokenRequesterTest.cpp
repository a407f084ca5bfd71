#include <quota/TokenRequester.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(100s);

/// A requester whose holder has a share that yields a token after `ownWait`.
struct Fixture
{
    auto grant(std::uint32_t tokens, std::optional<Duration> wait, TimePoint now)
        -> std::vector<TokenGrant>
    {
        return this->requester.complete(
            {.granting = true,
             .grants = {{.organisation = "bale", .tokens = tokens, .wait = wait, .interval = 1s}}},
            now);
    }

    std::optional<Duration> ownWait;
    TokenRequester requester{
        {"entry-1", 1}, QuotaTiming(), {.timeToOwnToken = [this](const std::string &, TimePoint) {
            return this->ownWait;
        }}};
};

} // namespace

// Guards against a token that is used after the ledger has stopped counting it.
TEST_CASE("tokens that arrive after their lifetime are not used")
{
    auto fixture = Fixture();
    fixture.requester.setBacklog("bale", 2, START);
    REQUIRE(fixture.requester.beginRequest(START)->demands
            == std::vector<TokenDemand>{{.organisation = "bale", .tokens = 2}});
    CHECK(fixture.grant(1, {}, START + 499ms).size() == 1);
    REQUIRE(fixture.requester.beginRequest(START + 1s));
    CHECK(fixture.grant(1, {}, START + 1500ms).empty());
}

// Guards against a message for each round trip while an organisation is over its rate.
TEST_CASE("an organisation without tokens is asked for again after a pause")
{
    auto fixture = Fixture();
    fixture.requester.setBacklog("bale", 1, START);
    REQUIRE(fixture.requester.beginRequest(START));
    CHECK_FALSE(fixture.requester.nextRequestAt(START));
    std::ignore = fixture.grant(0, 5s, START);
    CHECK_FALSE(fixture.requester.beginRequest(START + 1ms));
    CHECK(fixture.requester.nextRequestAt(START) == START + TokenRequester::MAX_WAIT_MS);
    CHECK(fixture.requester.forecast("bale", START + 1s)->first == 4s);
    CHECK(fixture.requester.forecast("other", START)->first == Duration::zero());
}

TEST_CASE("no token is asked for while the holder's own share yields one soon")
{
    auto fixture = Fixture();
    fixture.ownWait = 20ms;
    fixture.requester.setBacklog("bale", 1, START);
    CHECK_FALSE(fixture.requester.beginRequest(START));
    fixture.ownWait = 2s;
    CHECK(fixture.requester.beginRequest(START + 100ms));
}

// Guards against forecasts of a leader that is gone.
TEST_CASE("nothing is forecast after a request without a response")
{
    auto fixture = Fixture();
    fixture.requester.setBacklog("bale", 1, START);
    REQUIRE(fixture.requester.beginRequest(START));
    fixture.requester.failed(START);
    CHECK_FALSE(fixture.requester.forecast("bale", START));
    CHECK(fixture.requester.nextRequestAt(START) == START + TokenRequester::RETRY_PAUSE_MS);
}

} // namespace auburnrail
