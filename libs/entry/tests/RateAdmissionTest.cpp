#include <entry/RateAdmission.h>

#include <catch2/catch.hpp>

#include <tuple>

#include <string>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// Token source that announces one token every 100 ms; tests add the tokens.
struct FakeTokens
{
    auto hooks() -> RateAdmissionHooks
    {
        const auto take = [this](const std::string &, TimePoint) {
            if (this->tokens == 0)
                return false;
            --this->tokens;
            return true;
        };
        return RateAdmissionHooks{
            .tryAcquire = take,
            .tryAcquireQueued = take,
            .timeToToken = [this](const std::string &, TimePoint) { return this->ownWait; },
            .forecast = [this](const std::string &, TimePoint) { return this->expected; },
            .setBacklog =
                [this](const std::string &, std::size_t waiting, TimePoint) {
                    this->backlog = waiting;
                }};
    }

    int tokens = 0;
    std::size_t backlog = 0;
    std::optional<TokenForecast> expected; ///< From the leader; nothing without one.
    std::optional<Duration> ownWait = 100ms;
};

auto record(std::string &trace, std::string name) -> AdmissionDone
{
    return [&trace, name = std::move(name)](const std::optional<RequestRefusal> &refusal) {
        trace += name + (refusal ? "!" : "");
    };
}

/// Request whose latency objective ends after its deadline.
auto requestUntil(const std::string &organisation, TimePoint deadline) -> AdmissionRequest
{
    return AdmissionRequest{
        .organisation = organisation, .objectiveEnd = deadline + 1h, .deadline = deadline};
}

} // namespace

// Guards against requests that overtake others of their organisation, and against waits beyond the
// deadline.
TEST_CASE("requests are admitted in order of arrival and refused at their deadline")
{
    auto tokens = FakeTokens{.tokens = 1};
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    admission.admit(requestUntil("shed", start + 1s), start, record(trace, "a"));
    admission.admit(requestUntil("shed", start + 1s), start, record(trace, "b"));
    admission.admit(requestUntil("shed", start + 300ms), start, record(trace, "c"));
    CHECK(trace == "a");
    CHECK(tokens.backlog == 2);
    tokens.tokens = 1;
    admission.admit(requestUntil("shed", start + 1s), start + 100ms, record(trace, "d"));
    CHECK(trace == "ab");
    std::ignore = admission.advance(start + 300ms);
    CHECK(trace == "abc!");
    tokens.tokens = 1;
    std::ignore = admission.advance(start + 400ms);
    CHECK(trace == "abc!d");
    CHECK(tokens.backlog == 0);
}

// Guards against a backlog after a failure that makes every later request miss its objective too:
// 100 requests that waited for 600 ms, then one every 10 ms, at a rate of one every 8 ms.
TEST_CASE("requests that can meet their objective go before a backlog that can't")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    const auto start = TimePoint(10s);
    auto lateServed = 0;
    auto inTime = 0;
    const auto add = [&](TimePoint since, TimePoint now, int &count) {
        const auto request = AdmissionRequest{
            .organisation = "shed", .objectiveEnd = since + 500ms, .deadline = now + 1h};
        admission.admit(request, now, [&count](const auto &refusal) { count += refusal ? 0 : 1; });
    };
    for (auto index = 0; index < 100; ++index)
        add(start - 600ms, start, lateServed);
    for (auto ms = 8; ms <= 1000; ms += 8) {
        const auto now = start + std::chrono::milliseconds(ms);
        if (ms % 10 < 8)
            add(now, now, inTime);
        ++tokens.tokens;
        std::ignore = admission.advance(now);
    }
    CHECK(inTime == 100);
    CHECK(lateServed == 25);
}

TEST_CASE("a request whose turn comes after its deadline is refused at once")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    admission.admit(requestUntil("shed", start + 1s), start, record(trace, "a"));
    admission.admit(requestUntil("shed", start + 150ms), start, record(trace, "b"));
    CHECK(trace == "b!");
}

// Guards against tokens that are spent on requests which can't run in time any more, while others
// wait for them.
TEST_CASE("a request that could not run after its token is refused before")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    admission.admit(requestUntil("shed", start + RateAdmission::TIME_TO_RUN / 2), start,
                    record(trace, "a"));
    CHECK(trace == "a!");
    admission.admit(requestUntil("shed", start + 500ms), start, record(trace, "b"));
    admission.admit(requestUntil("shed", start + 2s), start, record(trace, "c"));
    tokens.tokens = 1;
    std::ignore = admission.advance(start + 500ms - RateAdmission::TIME_TO_RUN / 2);
    CHECK(trace == "a!b!c");
}

// Guards against unbounded memory when one organisation exceeds its rate.
TEST_CASE("a full queue refuses further requests of its organisation only")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    for (auto index = std::size_t(0); index < RateAdmission::MAX_WAITERS; ++index)
        admission.admit(requestUntil("shed", start + 1h), start, record(trace, ""));
    admission.admit(requestUntil("shed", start + 1h), start, record(trace, "x"));
    admission.admit(requestUntil("yard", start + 1h), start, record(trace, "y"));
    CHECK(trace == "x!");
}

// Guards against requests that wait for a token that the leader expects after their deadline.
TEST_CASE("waiting requests are refused once the leader's forecast is too late for them")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    tokens.expected = TokenForecast();
    tokens.ownWait = std::nullopt;
    admission.admit(requestUntil("shed", start + 300ms), start, record(trace, "a"));
    admission.admit(requestUntil("shed", start + 2s), start, record(trace, "b"));
    CHECK(trace.empty());
    tokens.expected = TokenForecast{.first = 500ms, .interval = 100ms};
    std::ignore = admission.advance(start + 10ms);
    CHECK(trace == "a!");
    admission.admit(requestUntil("shed", start + 400ms), start + 10ms, record(trace, "c"));
    CHECK(trace == "a!c!");
    admission.offer("shed", 1, start + 20ms);
    CHECK(trace == "a!c!b");
    CHECK(tokens.backlog == 0);
}

} // namespace auburnrail
