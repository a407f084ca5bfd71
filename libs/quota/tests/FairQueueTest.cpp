#include <quota/FairQueue.h>

#include <catch2/catch.hpp>

#include <core/RandomSource.h>

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(1h);

struct Outcomes
{
    std::vector<WaiterId> admitted;
    std::vector<std::pair<WaiterId, ReasonCode>> refused;

    auto hooks() -> FairQueueHooks
    {
        return {[this](WaiterId id) { this->admitted.push_back(id); },
                [this](WaiterId id, ReasonCode reason) {
                    this->refused.emplace_back(id, reason);
                }};
    }
};

auto waiter(WaiterId id, std::string organisation, Duration deadline, double weight = 1.0) -> Waiter
{
    return {id, std::move(organisation), weight, START + deadline, 10ms};
}

struct OverflowCase
{
    std::string name;
    std::vector<Waiter> waiting; ///< Fill all places.
    Waiter last;
    WaiterId refused;
};

} // namespace

// Guards against a full queue that refuses the wrong request: by arrival order, or of an
// organisation within its fair share.
TEST_CASE(
    "a full queue refuses the waiter with least slack of an organisation above its fair share")
{
    const auto cases = std::vector<OverflowCase>{
        {"own organisation alone: the most urgent is refused",
         {waiter(1, "a", 1s), waiter(2, "a", 50ms), waiter(3, "a", 1s), waiter(4, "a", 1s)},
         waiter(5, "a", 2s),
         2},
        {"equal deadlines: the last in the queue has the longest wait",
         {waiter(1, "a", 1s), waiter(2, "a", 1s), waiter(3, "a", 1s), waiter(4, "a", 1s)},
         waiter(5, "a", 1s),
         5},
        {"a new waiter within its fair share displaces one above, however urgent the new one is",
         {waiter(1, "a", 1s), waiter(2, "a", 1s), waiter(3, "a", 1s), waiter(4, "a", 900ms)},
         waiter(5, "b", 20ms),
         4},
        {"a new waiter above its fair share does not displace one within",
         {waiter(1, "a", 1s), waiter(2, "a", 1s), waiter(3, "a", 1s), waiter(4, "b", 20ms)},
         waiter(5, "a", 1s),
         5},
        {"a greater weight has a greater fair share",
         {waiter(1, "a", 30ms, 3), waiter(2, "a", 1s, 3), waiter(3, "a", 1s, 3),
          waiter(4, "b", 1s)},
         waiter(5, "b", 2s),
         4},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        auto outcomes = Outcomes();
        auto queue = FairQueue(1, 4, outcomes.hooks());
        CHECK(std::holds_alternative<Admitted>(queue.enqueue(waiter(99, "z", 1s), START)));
        for (const auto &entry : row.waiting)
            CHECK(std::holds_alternative<Queued>(queue.enqueue(entry, START)));
        const auto admission = queue.enqueue(row.last, START);
        const auto *refused = std::get_if<Refused>(&admission);
        CHECK((refused != nullptr) == (row.refused == row.last.id));
        if (refused != nullptr)
            CHECK(refused->reason == ReasonCode::QueueFull);
        else
            CHECK(outcomes.refused == std::vector{std::pair(row.refused, ReasonCode::QueueFull)});
    }
}

// Guards against waiters that hold a place or get a slot although they cannot meet their deadline.
TEST_CASE("waiters that cannot meet their deadline are refused, cancelled ones are removed")
{
    auto outcomes = Outcomes();
    auto queue = FairQueue(1, 4, outcomes.hooks());
    CHECK(std::holds_alternative<Admitted>(queue.enqueue(waiter(1, "a", 1s), START)));
    const auto tooLate = queue.enqueue(waiter(2, "a", 5ms), START);
    CHECK(std::get<Refused>(tooLate).reason == ReasonCode::DeadlineTooClose);
    CHECK(std::holds_alternative<Queued>(queue.enqueue(waiter(3, "a", 20ms), START)));
    CHECK(std::holds_alternative<Queued>(queue.enqueue(waiter(4, "a", 1s), START)));
    CHECK(std::holds_alternative<Queued>(queue.enqueue(waiter(5, "a", 1s), START)));
    queue.expire(START + 10ms);
    CHECK(outcomes.refused.empty());
    CHECK(queue.nextExpiry() == START + 10ms + Duration(1));
    CHECK(queue.cancel(4));
    CHECK_FALSE(queue.cancel(4));
    queue.release(START + 11ms);
    CHECK(outcomes.refused == std::vector{std::pair(WaiterId(3), ReasonCode::DeadlineTooClose)});
    CHECK(outcomes.admitted == std::vector<WaiterId>{5});
    CHECK(queue.backlog("a") == 0);
}

TEST_CASE("a queue for tokens admits a waiter of the organisation that got a token")
{
    auto outcomes = Outcomes();
    auto queue = FairQueue(0, 4, outcomes.hooks());
    CHECK(std::holds_alternative<Queued>(queue.enqueue(waiter(1, "a", 1s), START)));
    CHECK(std::holds_alternative<Queued>(queue.enqueue(waiter(2, "b", 1s), START)));
    CHECK(queue.admitNext("b", START));
    CHECK_FALSE(queue.admitNext("b", START));
    CHECK(outcomes.admitted == std::vector<WaiterId>{2});
}

namespace {

struct LoadCase
{
    std::string name;
    std::map<std::string, double> weights;
    std::map<std::string, double> perSecond; ///< Offered load; the queue serves 200 per second.
    std::map<std::string, double> minServedFraction;
};

/// Fraction served by organisation, with two slots, a service time of 10 ms and seeded arrivals
/// over 30 s.
auto serve(const LoadCase &row) -> std::map<std::string, double>
{
    auto random = makeSeededRandom(7);
    auto finishes =
        std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<TimePoint>>();
    auto owners = std::map<WaiterId, std::string>();
    auto served = std::map<std::string, double>();
    auto offered = std::map<std::string, double>();
    auto now = START;
    const auto begin = [&](WaiterId id) {
        ++served[owners[id]];
        finishes.push(now + 10ms);
    };
    auto queue = FairQueue(2, 32, {begin, {}});
    auto nextId = WaiterId(0);
    for (; now < START + 30s; now += 1ms) {
        while (!finishes.empty() && finishes.top() <= now) {
            finishes.pop();
            queue.release(now);
        }
        for (const auto &[organisation, rate] : row.perSecond) {
            if (static_cast<double>(random() >> 11) * 0x1p-53 >= rate / 1000)
                continue;
            const auto id = ++nextId;
            owners[id] = organisation;
            ++offered[organisation];
            const auto request =
                Waiter{id, organisation, row.weights.at(organisation), now + 200ms, 10ms};
            if (std::holds_alternative<Admitted>(queue.enqueue(request, now)))
                begin(id);
        }
    }
    for (auto &[organisation, count] : served)
        count /= offered[organisation];
    return served;
}

} // namespace

// Guards against an overloading organisation taking slots or places of the others.
TEST_CASE("an organisation above its fair share does not reduce the fraction served of the others")
{
    const auto cases = std::vector<LoadCase>{
        {"all within their fair share",
         {{"a", 1}, {"b", 1}},
         {{"a", 80}, {"b", 80}},
         {{"a", .98}, {"b", .98}}},
        {"one sends 5 times its fair share",
         {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}},
         {{"a", 250}, {"b", 40}, {"c", 40}, {"d", 40}},
         {{"a", .2}, {"b", .98}, {"c", .98}, {"d", .98}}},
        {"weights decide when all exceed their fair share",
         {{"a", 3}, {"b", 1}},
         {{"a", 400}, {"b", 400}},
         {{"a", .35}, {"b", .11}}},
    };
    for (const auto &row : cases) {
        const auto served = serve(row);
        for (const auto &[organisation, least] : row.minServedFraction) {
            INFO(row.name << ": " << organisation);
            CHECK(served.at(organisation) >= least);
        }
    }
}

} // namespace auburnrail
