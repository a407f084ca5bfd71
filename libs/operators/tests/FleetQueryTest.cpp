#include "FakeControl.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace auburnrail {

namespace {

using Fault = FakeControl::Fault;

auto body(std::string text, int status = 200) -> HttpResponse
{
    return HttpResponse{.status = status, .headers = {}, .body = std::move(text)};
}

/// Members a (follower) and b (leader), entries e1 and e2.
auto makeFleet() -> FakeControl
{
    auto control = FakeControl();
    control.answers[{"a:1", "/v1/status"}] = body(R"({"leading":false})");
    control.answers[{"b:1", "/v1/status"}] = body(R"({"leading":true})");
    control.answers[{"a:1", "/v1/entries"}] = body(R"({"entries":[]})");
    control.answers[{"b:1", "/v1/entries"}] = body(
        R"({"entries":[{"instance":"e1","operators_address":"e1:1"},{"instance":"e2","operators_address":"e2:1"}]})");
    const auto request = std::string("/v1/explain/request?id=r1");
    control.answers[{"e1:1", request}] = body(R"({"records":[]})");
    control.answers[{"e2:1", request}] =
        body(R"({"records":[{"at_ms":5,"reason":"lease-expired","facts":{"term":3}}]})");
    return control;
}

} // namespace

// Guards against a request that is declared unknown although an entry that may know it is down.
TEST_CASE("explain request asks every entry and tells when records may be missing")
{
    struct Row
    {
        const char *name;
        std::set<std::string> down;
        std::string id;
        ExitCode expected;
    };
    const auto row = GENERATE(values<Row>({
        {"recorded", {}, "r1", ExitCode::Done},
        {"one member down", {"a:1"}, "r1", ExitCode::Done},
        {"other entry down", {"e1:1"}, "r1", ExitCode::Done},
        {"its entry down", {"e2:1"}, "r1", ExitCode::Unavailable},
        {"not recorded", {}, "r2", ExitCode::Refused},
        {"all members down", {"a:1", "b:1"}, "r1", ExitCode::Unavailable},
        {"no member knows entries", {"b:1"}, "r1", ExitCode::Unavailable},
    }));
    CAPTURE(row.name);
    auto control = makeFleet();
    control.answers[{"e1:1", "/v1/explain/request?id=r2"}] = body(R"({"records":[]})");
    control.answers[{"e2:1", "/v1/explain/request?id=r2"}] = body(R"({"records":[]})");
    control.down = row.down;
    const auto output = control.run({"explain", "request", row.id});
    CAPTURE(output.out, output.err);
    CHECK(output.code == row.expected);
    if (row.expected == ExitCode::Done) {
        CHECK_THAT(output.out,
                   Catch::Contains("reason=lease-expired") && Catch::Contains("term=3"));
        CHECK(control.run({"--json", "explain", "request", row.id}).out.find("\"at_ms\":5")
              != std::string::npos);
    }
    CHECK((row.down.contains("e1:1") || row.down.contains("e2:1"))
          == (output.err.find("did not answer") != std::string::npos));
}

// Guards against a caller's text that is shown as a record of its own, or that a terminal runs.
TEST_CASE("control characters of a record are escaped as text")
{
    auto control = makeFleet();
    control.answers[{"e2:1", "/v1/explain/request?id=r1"}] =
        body(R"({"records":[{"service":"a\nreason=completed\u001b[2J\t\\é","at_ms":5}]})");
    const auto output = control.run({"explain", "request", "r1"});
    CHECK(output.code == ExitCode::Done);
    CHECK_THAT(output.out, Catch::Contains("service=a\\nreason=completed\\x1b[2J\\t\\\\é"));
    CHECK(std::count(output.out.begin(), output.out.end(), '\n') == 1);
}

// Guards against a promotion that is sent twice, or one whose lost answer reads as "nothing
// changed".
TEST_CASE("promote is sent once, to the leader, and its exit code tells what is known")
{
    struct Row
    {
        const char *name;
        std::deque<Fault> script;
        int status;
        ExitCode expected;
    };
    const auto row = GENERATE(values<Row>({
        {"started", {}, 200, ExitCode::Done},
        {"no such endpoint", {}, 404, ExitCode::Refused},
        {"failover under way", {}, 409, ExitCode::Refused},
        {"bad value", {}, 400, ExitCode::BadInput},
        {"fault in the member", {}, 500, ExitCode::Unknown},
        {"unreachable", {Fault::Unreachable}, 200, ExitCode::Unavailable},
        {"request or answer lost", {Fault::RequestLost}, 200, ExitCode::Unknown},
    }));
    CAPTURE(row.name);
    auto control = makeFleet();
    control.script = row.script;
    control.answers[{"b:1", "/v1/promote"}] = body(R"({"error":"why"})", row.status);
    const auto output = control.run({"promote", "g", "x"});
    CHECK(output.code == row.expected);
    CHECK(control.asked.back() == "b:1");
    control.down = {"b:1"};
    CHECK(control.run({"promote", "g", "x"}).code == ExitCode::Unavailable);
}

// Guards against a report of a member that does not lead, which entries no longer report to.
TEST_CASE("reports and lists come from the member that knows")
{
    auto control = makeFleet();
    control.answers[{"a:1", "/v1/report/burn?format=text"}] = body("old\n");
    control.answers[{"b:1", "/v1/report/burn?format=text"}] = body("new\n");
    control.answers[{"b:1", "/v1/report/burn?format=json"}] = body("{}");
    control.answers[{"b:1", "/v1/report/burn?format=html"}] = body("<html>");
    control.answers[{"a:1", "/v1/explain/failover?group=g"}] =
        body(R"({"failovers":[{"term":2,"ended_ms_ago":900}]})");
    control.answers[{"b:1", "/v1/explain/failover?group=g"}] =
        body(R"({"failovers":[{"term":3,"ended_ms_ago":10}]})");
    control.answers[{"a:1", "/v1/members"}] = body(R"({"role":"follower","members":[]})");
    control.answers[{"b:1", "/v1/members"}] =
        body(R"({"role":"leader","leader":"b","members":[{"member":"c/1","voter":true}]})");
    CHECK(control.run({"report", "burn", "--html", "page"}).out == "new\n");
    CHECK(control.files.at("page") == "<html>");
    CHECK(control.run({"--json", "report", "burn"}).out == "{}\n");
    const auto failovers = control.run({"explain", "failover", "g"}).out;
    CHECK(failovers.find("term=2") < failovers.find("term=3"));
    CHECK_THAT(control.run({"members"}).out, Catch::Contains("leader b") && Catch::Contains("c/1"));
    CHECK_THAT(control.run({"entries"}).out, Catch::Contains("e1:1") && Catch::Contains("e2:1"));
    (void)control.run({"service", "set", "s", "--group", "g", "--label", "tier=gold"});
    (void)control.run(
        {"organisation", "set", "o", "--rate", "5", "--burst", "9", "--label", "tier=gold"});
    const auto matched = control.run({"explain", "selector", "tier=gold"}).out;
    CHECK_THAT(matched, Catch::Contains("service\ts\t") && Catch::Contains("organisation\to\t"));
    CHECK(control.run({"explain", "selector", "a=,"}).code == ExitCode::BadInput);
    for (const auto *noun : {"explain", "report", "members", "entries", "promote", "check"})
        CHECK_THAT(control.run({noun, "--help"}).out, Catch::Contains("Exit codes"));
}

} // namespace auburnrail
