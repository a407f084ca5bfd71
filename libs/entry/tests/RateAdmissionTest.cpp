#include <entry/RateAdmission.h>

#include <catch2/catch.hpp>

#include <string>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// Tokens that come one every 100 ms.
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
            .timeToToken = [](const std::string &, TimePoint) -> std::optional<Duration> {
                return 100ms;
            },
            .setBacklog =
                [this](const std::string &, std::size_t waiting, TimePoint) {
                    this->backlog = waiting;
                }};
    }

    int tokens = 0;
    std::size_t backlog = 0;
};

auto record(std::string &trace, std::string name) -> AdmissionDone
{
    return [&trace, name = std::move(name)](const std::optional<RequestRefusal> &refusal) {
        trace += name + (refusal ? "!" : "");
    };
}

} // namespace

// Guards against requests that overtake others of their organisation, and against waits past a
// deadline.
TEST_CASE("requests are admitted in order of arrival and refused at their deadline")
{
    auto tokens = FakeTokens{.tokens = 1};
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    admission.admit("shed", start + 1s, start, record(trace, "a"));
    admission.admit("shed", start + 1s, start, record(trace, "b"));
    admission.admit("shed", start + 300ms, start, record(trace, "c"));
    CHECK(trace == "a");
    CHECK(tokens.backlog == 2);
    tokens.tokens = 1;
    admission.admit("shed", start + 1s, start + 100ms, record(trace, "d"));
    CHECK(trace == "ab");
    std::ignore = admission.advance(start + 300ms);
    CHECK(trace == "abc!");
    tokens.tokens = 1;
    std::ignore = admission.advance(start + 400ms);
    CHECK(trace == "abc!d");
    CHECK(tokens.backlog == 0);
}

TEST_CASE("a request whose turn comes after its deadline is refused at once")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    admission.admit("shed", start + 1s, start, record(trace, "a"));
    admission.admit("shed", start + 150ms, start, record(trace, "b"));
    CHECK(trace == "b!");
}

// Guards against unbounded memory when one organisation exceeds its rate.
TEST_CASE("a full queue refuses further requests of its organisation only")
{
    auto tokens = FakeTokens();
    auto admission = RateAdmission(tokens.hooks());
    auto trace = std::string();
    const auto start = TimePoint(1s);
    for (auto index = std::size_t(0); index < RateAdmission::MAX_WAITERS; ++index)
        admission.admit("shed", start + 1h, start, record(trace, ""));
    admission.admit("shed", start + 1h, start, record(trace, "x"));
    admission.admit("yard", start + 1h, start, record(trace, "y"));
    CHECK(trace == "x!");
}

} // namespace auburnrail
