#include <session/ReadPlan.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards read-your-writes and the stated age: no replica that fails either one serves the read.
TEST_CASE("a read goes where its position and stated age are satisfied")
{
    struct Case
    {
        std::string name;
        ReadNeed need;
        ReadTarget target;
        std::vector<std::string> endpoints;
    };
    const auto now = TimePoint(10s);
    const auto replicas = std::vector<ReadCandidate>{
        {.endpoint = "fresh", .position = {.term = 2, .index = 50}, .dataTime = now - 10ms},
        {.endpoint = "stale", .position = {.term = 2, .index = 40}, .dataTime = now - 3s},
        {.endpoint = "unmeasured", .position = {.term = 1, .index = 90}, .dataTime = {}},
    };
    const auto at = [](std::uint64_t term, std::uint64_t index) {
        return Position{.term = term, .index = index};
    };
    const auto cases = std::vector<Case>{
        {"unknown position", {.session = true}, ReadTarget::Primary, {}},
        {"no token, no age", {}, ReadTarget::Primary, {}},
        {"no token, stated age", {.maxAge = 1s}, ReadTarget::Replica, {"fresh"}},
        {"bad token, stated age", {.maxAge = 1s, .session = true}, ReadTarget::Primary, {}},
        {"reached",
         {.minimum = at(2, 40), .session = true},
         ReadTarget::Replica,
         {"fresh", "stale"}},
        {"reached and fresh",
         {.minimum = at(2, 40), .maxAge = 1s, .session = true},
         ReadTarget::Replica,
         {"fresh"}},
        {"nearly reached", {.minimum = at(2, 60), .session = true}, ReadTarget::Wait, {"fresh"}},
        {"waited already",
         {.minimum = at(2, 60), .session = true, .waited = true},
         ReadTarget::Primary,
         {}},
        {"far behind", {.minimum = at(2, 5000), .session = true}, ReadTarget::Primary, {}},
        {"later term", {.minimum = at(3, 1), .session = true}, ReadTarget::Primary, {}},
        {"too old everywhere", {.maxAge = 1ms}, ReadTarget::Primary, {}},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        const auto plan = planRead(row.need, replicas, now);
        CHECK(nameOf(plan.target) == nameOf(row.target));
        CHECK(plan.endpoints == row.endpoints);
    }
}

} // namespace auburnrail
