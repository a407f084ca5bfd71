#include <observe/ExplainJson.h>
#include <observe/ExplainLog.h>
#include <observe/ExplainText.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

auto record(ExplainKind kind, std::string id, std::string organisation, std::int64_t at)
    -> ExplainRecord
{
    return {kind, std::move(id), std::move(organisation), "ledger",
            at,   "refused",     ReasonCode::RateLimited, {{"tokens", "0"}, {"revision", "7"}}};
}

} // namespace

// Guards against a flood of one kind that evicts the records of another.
TEST_CASE("each kind keeps its last records")
{
    auto log = ExplainLog(3);
    log.record(record(ExplainKind::Failover, "group-1", "", 1));
    for (auto i = 0; i < 10; ++i) {
        log.record(
            record(ExplainKind::Refusal, "r" + std::to_string(i), i % 2 ? "odd" : "even", 10 + i));
    }
    CHECK(log.failovers("group-1", 5).size() == 1);
    CHECK(log.failovers("group-2", 5).empty());
    CHECK(log.byRequest("r6").empty());
    CHECK(log.byRequest("r7").size() == 1);
    const auto odd = log.refusals("odd", 5);
    REQUIRE(odd.size() == 2);
    CHECK(odd[0].id == "r9");
    CHECK(odd[1].id == "r7");
    CHECK(log.refusals("", 2).size() == 2);
}

TEST_CASE("the records of one request come in the order of time")
{
    auto log = ExplainLog(4);
    log.record(record(ExplainKind::Refusal, "r1", "a", 30));
    log.record(record(ExplainKind::Request, "r1", "a", 10));
    log.record(record(ExplainKind::Request, "r1", "a", 20));
    const auto found = log.byRequest("r1");
    REQUIRE(found.size() == 3);
    CHECK(found[0].atMillis == 10);
    CHECK(found[2].kind == ExplainKind::Refusal);
}

TEST_CASE("a record is printed with its facts in their order")
{
    const auto sample = record(ExplainKind::Refusal, "r1", "a", 1500);
    CHECK(explainText(sample)
          == "1970-01-01T00:00:01.500Z refusal r1: refused (rate-limited) organisation=a "
             "service=ledger tokens=0 revision=7");
    CHECK(explainJson(sample).toString()
          == R"({"kind":"refusal","id":"r1","organisation":"a","service":"ledger","at_ms":1500,)"
             R"("decision":"refused","reason":"rate-limited","facts":[{"name":"tokens",)"
             R"("value":"0"},{"name":"revision","value":"7"}]})");
}

} // namespace auburnrail
