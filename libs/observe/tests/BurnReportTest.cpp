#include <http/JsonReader.h>
#include <observe/BurnHtml.h>
#include <observe/BurnJson.h>
#include <observe/BurnReport.h>
#include <observe/BurnText.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto MINUTE = std::int64_t(60'000);
constexpr auto START = 1'000'000 * MINUTE;

auto objectives() -> std::vector<BurnObjective>
{
    return {{.name = "up", .kind = ObjectiveKind::Availability, .target = 0.99},
            {.name = "fast", .kind = ObjectiveKind::Latency, .target = 0.9, .threshold = 100ms},
            {.name = "gap", .kind = ObjectiveKind::FailoverGap, .target = 0.5, .threshold = 7s},
            {.name = "fair",
             .kind = ObjectiveKind::WrongfulRefusals,
             .target = 0.9,
             .applies = [](std::string_view, std::string_view organisation) {
                 return organisation == "a";
             }}};
}

auto record(BurnReport &report, int good, int bad, std::int64_t at) -> void
{
    for (auto i = 0; i < good; ++i)
        report.recordRequest({"ledger", "a", ReasonCode::Completed, false, false, 10ms}, at);
    for (auto i = 0; i < bad; ++i)
        report.recordRequest({"ledger", "a", ReasonCode::NoPrimary, true, false, 10ms}, at);
}

} // namespace

// Guards against events counted for the wrong objective.
TEST_CASE("each kind of objective counts its own events")
{
    auto report = BurnReport("entry-1/1");
    report.setObjectives(objectives());
    record(report, 6, 2, START);
    report.recordRequest({"ledger", "a", ReasonCode::Completed, false, false, 200ms}, START);
    report.recordRequest({"ledger", "a", ReasonCode::RateLimited, false, true, 1ms}, START);
    report.recordRequest({"ledger", "b", ReasonCode::RateLimited, false, true, 1ms}, START);
    report.recordFailover("ledger", 8s, ReasonCode::NoPrimary, START);
    report.recordFailover("ledger", 2s, ReasonCode::NoPrimary, START);
    const auto statuses = report.evaluate(START);
    REQUIRE(statuses.size() == 4);
    CHECK(statuses[0].count == BurnCount{9, 2});
    CHECK(statuses[1].count == BurnCount{6, 1});
    CHECK(statuses[2].count == BurnCount{1, 1});
    CHECK(statuses[3].count == BurnCount{9, 1});
    CHECK(statuses[3].remainingBudget == Approx(0.0).margin(1e-9));
    CHECK(statuses[2].remainingBudget == Approx(0.0).margin(1e-9));
    REQUIRE(statuses[0].spenders.size() == 1);
    CHECK(statuses[0].spenders[0].reason == ReasonCode::NoPrimary);
}

// Guards against alarms that go on after the fault ended, or that a short blip raises.
TEST_CASE("burning needs a short and a long window above the factor")
{
    struct Case
    {
        std::string name;
        std::vector<std::pair<int, int>> badByMinutesAgo; ///< Bad of 100 events a minute.
        bool fastBurns;
        bool slowBurns;
    };
    const auto cases = std::vector<Case>{
        {"no fault", {}, false, false},
        {"one bad minute in an hour", {{0, 100}}, false, false},
        {"half an hour at 40 %, still going on",
         {{0, 40}, {5, 40}, {10, 40}, {15, 40}, {20, 40}, {25, 40}},
         true,
         false},
        {"the same, over for ten minutes",
         {{10, 40}, {15, 40}, {20, 40}, {25, 40}, {30, 40}, {35, 40}},
         false,
         false},
        {"six hours at 7 %", {{-1, 7}}, false, true},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        auto report = BurnReport("entry-1/1");
        report.setObjectives({{.name = "up", .target = 0.99}});
        for (auto ago = 420; ago >= 0; --ago) {
            auto bad = 0;
            for (const auto &[from, count] : row.badByMinutesAgo) {
                if (from == -1 || (ago >= from && ago < from + (from == 0 && count == 100 ? 1 : 5)))
                    bad = count;
            }
            record(report, 100 - bad, bad, START - ago * MINUTE);
        }
        const auto status = report.evaluate(START).front();
        CHECK(status.rates[0].burning == row.fastBurns);
        CHECK(status.rates[1].burning == row.slowBurns);
    }
}

// Guards against counting twice what was resent, and against losing what arrives late or out of
// order.
TEST_CASE("merging is idempotent and independent of order")
{
    auto first = BurnReport("entry-1/1");
    auto second = BurnReport("entry-2/1");
    auto restarted = BurnReport("entry-1/2");
    auto control = BurnReport("control-1/1");
    for (auto *report : {&first, &second, &restarted, &control})
        report->setObjectives(objectives());
    record(first, 5, 1, START);
    const auto early = first.contributions(2, START);
    record(first, 5, 1, START);
    record(first, 1, 0, START + MINUTE);
    record(second, 3, 3, START);
    record(restarted, 2, 0, START + MINUTE);
    const auto now = START + MINUTE;
    auto all = early;
    for (auto *report : {&first, &second, &restarted, &first, &restarted}) {
        const auto more = report->contributions(2, now);
        all.insert(all.begin(), more.begin(), more.end());
    }
    for (const auto &contribution : all)
        CHECK(control.merge(contribution, now));
    CHECK(control.evaluate(now)[0].count == BurnCount{16, 5});
    CHECK(control.contributions(60, now).empty());
    const auto late = START + (BurnReport::MERGE_MINUTES + 1) * MINUTE;
    CHECK_FALSE(control.merge(early.front(), late));
    CHECK_FALSE(control.merge(early.front(), START - 2 * MINUTE));
    CHECK(control.evaluate(late)[0].count == BurnCount{16, 5});
}

// Guards against memory that grows with time or with the number of organisations.
TEST_CASE("old buckets go and too many keys are counted together")
{
    auto report = BurnReport("entry-1/1");
    report.setObjectives({{.name = "up", .target = 0.99}});
    record(report, 0, 7, START);
    record(report, 1, 0, START + 31 * 24 * 60 * MINUTE);
    CHECK(report.evaluate(START + 31 * 24 * 60 * MINUTE).front().count == BurnCount{1, 0});
    for (auto i = 0; i < 20'000; ++i) {
        report.recordRequest({"ledger", std::to_string(i), ReasonCode::NoPrimary, true},
                             START + 32 * 24 * 60 * MINUTE);
    }
    const auto status = report.evaluate(START + 32 * 24 * 60 * MINUTE).front();
    CHECK(status.count.bad == 20'000);
    CHECK(status.spenders.front().organisation == "other");
}

// Guards against reports that no JSON reader accepts: a target of 1 leaves no budget, and the rates
// were divided by it.
TEST_CASE("a target of 1 is reported with finite figures")
{
    const auto bad = GENERATE(0, 1);
    CAPTURE(bad);
    auto report = BurnReport("entry-1/1");
    report.setObjectives({{.name = "up", .target = 1}});
    record(report, 9, bad, START);
    const auto status = report.evaluate(START).front();
    CHECK(std::isfinite(status.remainingBudget));
    CHECK((status.remainingBudget == 1) == (bad == 0));
    for (const auto &rate : status.rates) {
        CHECK(std::isfinite(rate.longRate));
        CHECK(rate.burning == (bad == 1));
    }
    auto reader = JsonReader(burnJson({status}).toString(), "report");
    CHECK(reader.objects("objectives").size() == 1);
    CHECK(reader.findings().toString().empty());
}

// Guards against names that break the page, and against references to other hosts.
TEST_CASE("the report is printed as text, JSON and a self-contained page")
{
    auto report = BurnReport("entry-1/1");
    report.setObjectives({{.name = "<up>", .target = 0.9}});
    record(report, 9, 1, START);
    const auto statuses = report.evaluate(START);
    CHECK(burnText(statuses).find("spent 100.0%: no-primary, service ledger, organisation a, 1\n")
          != std::string::npos);
    CHECK(burnJson(statuses).toString().find(R"("good":9,"bad":1)") != std::string::npos);
    const auto page = burnHtml(statuses);
    CHECK(page.find("<h2>&lt;up&gt;</h2>") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
    for (const auto *forbidden : {"<script", "http:", "https:", "src=", "href="})
        CHECK(page.find(forbidden) == std::string::npos);
}

} // namespace auburnrail
