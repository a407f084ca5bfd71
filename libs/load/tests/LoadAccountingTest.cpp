#include <load/LoadAccounting.h>
#include <load/LoadPlan.h>
#include <load/LoadSender.h>

#include <catch2/catch.hpp>

#include <deque>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

auto makeProfile() -> LoadProfile
{
    return LoadProfile{.services = {"logs"},
                       .organisations = {{.name = "shed", .rate = 10, .burst = 2}},
                       .maxAge = 1s,
                       .deadline = 1s};
}

auto makePlanned(std::uint64_t id, LoadKind kind, Duration at) -> PlannedRequest
{
    return PlannedRequest{.at = at, .id = id, .kind = kind};
}

auto makeAnswer(Outcome outcome, ReasonCode reason = ReasonCode::Completed,
                const std::string &result = "") -> CallerResponse
{
    return CallerResponse{.outcome = outcome, .reason = reason, .result = result};
}

auto record(LoadAccounting &accounting, const PlannedRequest &planned, const CallerResponse &answer,
            Duration endedAt) -> void
{
    accounting.began(planned, planned.at);
    const auto withinRate = accounting.sent(planned, planned.at);
    accounting.ended(LoadResult{
        .request = planned, .endedAt = endedAt, .answer = answer, .withinRate = withinRate});
}

/// How a write ended and how often its mark is found afterwards.
struct WriteCase
{
    Outcome outcome;
    const char *value;
    std::uint64_t lost;
    std::uint64_t doubled;
    std::uint64_t notRunButFound;
};

const auto WRITE_CASES = std::vector<WriteCase>{
    {Outcome::Ran, "w1;", 0, 0, 0},       {Outcome::Ran, "w11;w2;", 1, 0, 0},
    {Outcome::Ran, "w1;w2;w1;", 0, 1, 0}, {Outcome::NotRun, "", 0, 0, 0},
    {Outcome::NotRun, "w1;", 0, 0, 1},    {Outcome::Unknown, "", 0, 0, 0},
    {Outcome::Unknown, "w1;", 0, 0, 0},   {Outcome::Unknown, "w1;w1;", 0, 1, 0},
};

/// A sender on a virtual clock whose answers are scripted; each exchange takes 10 ms.
struct ScriptedSender
{
    explicit ScriptedSender(std::deque<CallerResponse> script)
        : answers(std::move(script))
    {
    }

    auto run(const std::vector<PlannedRequest> &plan) -> LoadReport
    {
        auto sender = LoadSender(
            this->profile, {{"shed", "key"}}, 7,
            LoadHooks{
                .exchange =
                    [this](std::size_t target, const CallerRequest &request) {
                        this->clock += 10ms;
                        this->targets.push_back(target);
                        this->requests.push_back(request);
                        auto answer = this->answers.front();
                        this->answers.pop_front();
                        return LoadExchangeResult{.answer = std::move(answer)};
                    },
                .now = [this] { return this->clock; },
                .waitUntil = [this](TimePoint due) { this->clock = std::max(this->clock, due); },
                .targets = 3},
            this->accounting);
        sender.run(plan, TimePoint());
        return this->accounting.report(1s);
    }

    LoadProfile profile = makeProfile();
    LoadAccounting accounting{makeProfile()};
    std::deque<CallerResponse> answers;
    TimePoint clock;
    std::vector<std::size_t> targets;
    std::vector<CallerRequest> requests;
};

} // namespace

// Guards against a check that overlooks a lost, doubled or wrongly refused write.
TEST_CASE("written marks are compared with what the caller was told")
{
    for (const auto &row : WRITE_CASES) {
        INFO(nameOf(row.outcome) << " " << row.value);
        auto accounting = LoadAccounting(makeProfile());
        record(accounting, makePlanned(1, LoadKind::Write, 0s), makeAnswer(row.outcome), 1ms);
        accounting.verify(0, row.value, "");
        const auto report = accounting.report(1s);
        CHECK(report.lostWrites == row.lost);
        CHECK(report.doubledWrites == row.doubled);
        CHECK(report.notRunButFound == row.notRunButFound);
    }
    auto accounting = LoadAccounting(makeProfile());
    record(accounting, makePlanned(1, LoadKind::Transaction, 0s), makeAnswer(Outcome::Unknown),
           1ms);
    accounting.verify(0, "w1;", "");
    accounting.verify(1, std::nullopt, "");
    CHECK(accounting.report(1s).tornTransactions == 1);
    CHECK(accounting.report(1s).unverifiedKeys == 1);
}

// Guards against counting the refusals of an organisation that exceeds its rate as wrongful.
TEST_CASE("a refusal is wrongful only within burst and rate")
{
    auto accounting = LoadAccounting(makeProfile());
    const auto refusal = makeAnswer(Outcome::NotRun, ReasonCode::RateLimited);
    for (auto id = std::uint64_t(1); id <= 5; ++id)
        record(accounting, makePlanned(id, LoadKind::Read, 100ms), refusal, 101ms);
    const auto report = accounting.report(1s);
    CHECK(report.wrongfulRefusals == 3);
    CHECK(report.worstOrganisation == "shed");
    CHECK(report.worstOrganisationServedShare == 0);
    CHECK(report.outcomes.at("not-run rate-limited") == 5);
}

TEST_CASE("the failover gap runs from the first unserved write to the next served one")
{
    auto accounting = LoadAccounting(makeProfile());
    record(accounting, makePlanned(1, LoadKind::Write, 0s), makeAnswer(Outcome::Ran), 5ms);
    // No write is sent for 2 s, which is no gap.
    record(accounting, makePlanned(2, LoadKind::Write, 2s),
           makeAnswer(Outcome::NotRun, ReasonCode::NoPrimary), 2010ms);
    record(accounting, makePlanned(3, LoadKind::Write, 3s), makeAnswer(Outcome::Ran), 3100ms);
    CHECK(accounting.report(4s).failoverGapMs == Approx(1100));
    record(accounting, makePlanned(4, LoadKind::Write, 4s), makeAnswer(Outcome::Unknown), 5s);
    CHECK(accounting.report(6s).failoverGapMs == Approx(2000));
}

// Guards against a roaming session that loses its token, and a missed read-your-writes violation.
TEST_CASE("a session roams with its token and checks its own writes")
{
    auto written = makeAnswer(Outcome::Ran);
    written.sessionToken = "t1";
    auto script = ScriptedSender({written, makeAnswer(Outcome::Ran, ReasonCode::Completed, "w1;"),
                                  makeAnswer(Outcome::Ran, ReasonCode::Completed, "")});
    const auto report =
        script.run({makePlanned(1, LoadKind::Write, 0s), makePlanned(2, LoadKind::Read, 0s),
                    makePlanned(3, LoadKind::AgedRead, 500ms)});
    CHECK(script.targets == std::vector<std::size_t>{0, 1, 2});
    CHECK(script.requests[1].sessionToken == "t1");
    CHECK(script.requests[2].sessionToken == "t1");
    CHECK(script.requests[2].maxAge.has_value());
    CHECK(report.readYourWritesViolations == 1);
    CHECK(report.lateSends == 0);
    CHECK(report.served == 3);
}

// Guards against a resend that would run twice, or that turns an unknown write into "not-run".
TEST_CASE("an unknown write is resent with its key and stays unknown unless it ran")
{
    const auto unknown = makeAnswer(Outcome::Unknown, ReasonCode::ConnectionLost);
    const auto refused = makeAnswer(Outcome::NotRun, ReasonCode::NoPrimary);
    auto script = ScriptedSender({unknown, refused, refused, refused});
    const auto report =
        script.run({makePlanned(1, LoadKind::Write, 0s), makePlanned(2, LoadKind::Write, 0s)});
    CHECK(script.requests[2].idempotencyKey == script.requests[0].idempotencyKey);
    CHECK(report.resends == 2);
    CHECK(report.outcomes.at("unknown no-primary") == 1);
    CHECK(report.outcomes.at("not-run no-primary") == 1);
    CHECK(report.lateSends == 1);
}

TEST_CASE("a plan repeats with its seed and keeps the rates")
{
    const auto profile = makeLoadProfile(ProfileName::Waitaki, 1);
    const auto plan = planLoad(profile, 20s, makeSeededRandom(3));
    const auto again = planLoad(profile, 20s, makeSeededRandom(3));
    REQUIRE(plan.size() == again.size());
    CHECK(plan.back().at == again.back().at);
    // 310 requests per second are allowed in all, and 60 % of them sent.
    CHECK(plan.size() == Approx(310 * 0.6 * 20).epsilon(0.1));
}

} // namespace auburnrail
