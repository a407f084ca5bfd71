#include <session/ReadPlan.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against a read served by a replica that lacks the session's writes or exceeds the maximum
// staleness.
TEST_CASE("a read goes to a server that satisfies its position and maximum staleness")
{
    struct Case
    {
        std::string name;
        ReadRequirements requirements;
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
        {"no token, no maximum staleness", {}, ReadTarget::Primary, {}},
        {"no token, maximum staleness", {.maxStaleness = 1s}, ReadTarget::Replica, {"fresh"}},
        {"invalid token, maximum staleness",
         {.maxStaleness = 1s, .session = true},
         ReadTarget::Primary,
         {}},
        {"reached",
         {.minimum = at(2, 40), .session = true},
         ReadTarget::Replica,
         {"fresh", "stale"}},
        {"reached and fresh",
         {.minimum = at(2, 40), .maxStaleness = 1s, .session = true},
         ReadTarget::Replica,
         {"fresh"}},
        {"nearly reached", {.minimum = at(2, 60), .session = true}, ReadTarget::Wait, {"fresh"}},
        {"has already waited",
         {.minimum = at(2, 60), .session = true, .waited = true},
         ReadTarget::Primary,
         {}},
        {"far behind", {.minimum = at(2, 5000), .session = true}, ReadTarget::Primary, {}},
        {"later term", {.minimum = at(3, 1), .session = true}, ReadTarget::Primary, {}},
        {"every replica is too stale", {.maxStaleness = 1ms}, ReadTarget::Primary, {}},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        const auto plan = planRead(row.requirements, replicas, now);
        CHECK(nameOf(plan.target) == nameOf(row.target));
        CHECK(plan.endpoints == row.endpoints);
    }
}

} // namespace auburnrail
