#include <entry/BurnSender.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// A report with `rowsPerMinute` rows in each minute; records the numbers of minutes requested.
class FakeReport
{
public:
    explicit FakeReport(std::size_t rowsPerMinute)
        : rows(rowsPerMinute)
    {
    }

    auto source() -> BurnSender::Source
    {
        return [this](int minutes) {
            this->requestedMinutes.push_back(minutes);
            auto list = std::vector<BurnContribution>();
            for (auto minute = 0; minute < minutes; ++minute) {
                list.push_back(BurnContribution{.source = "e/1",
                                                .startMillis = minute * 60'000,
                                                .rows = std::vector<BurnRow>(this->rows)});
            }
            return list;
        };
    }

    std::vector<int> requestedMinutes;

private:
    std::size_t rows;
};

auto rowsIn(const std::vector<BurnContribution> &list) -> std::size_t
{
    auto count = std::size_t(0);
    for (const auto &contribution : list)
        count += contribution.rows.size();
    return count;
}

} // namespace

// Guards against a new leader that lacks minutes, and against resending all minutes without need.
TEST_CASE("a receiver that may lack minutes gets all of them once, others the last ones")
{
    struct SentHeartbeat
    {
        const char *member;
        Duration at;
        bool granted;
    };
    struct Row
    {
        const char *name;
        std::vector<SentHeartbeat> heartbeats;
        std::vector<int> requestedMinutes;
    };
    const auto row = GENERATE(values<Row>({
        {"first heartbeat", {{"a", 0s, true}}, {30}},
        {"before the interval", {{"a", 0s, true}, {"a", 4900ms, true}}, {30}},
        {"steady", {{"a", 0s, true}, {"a", 5s, true}, {"a", 10s, true}}, {30, 2, 2}},
        {"leader changed", {{"a", 0s, true}, {"b", 5s, true}, {"b", 10s, true}}, {30, 30, 2}},
        {"lost, before the pause", {{"a", 0s, false}, {"a", 900ms, true}}, {30}},
        {"lost and sent again", {{"a", 0s, false}, {"a", 1s, true}, {"a", 6s, true}}, {30, 30, 2}},
        {"another heartbeat lost", {{"a", 0s, true}, {"a", 1s, false}, {"a", 2s, true}}, {30, 30}},
        {"away and back",
         {{"a", 0s, true}, {"b", 1s, false}, {"a", 2s, true}, {"a", 7s, true}},
         {30, 30, 2}},
    }));
    CAPTURE(row.name);
    auto report = FakeReport(1);
    auto sender = BurnSender(report.source());
    for (const auto &heartbeat : row.heartbeats) {
        std::ignore = sender.begin(heartbeat.member, TimePoint(heartbeat.at));
        sender.end(heartbeat.granted, TimePoint(heartbeat.at));
    }
    CHECK(report.requestedMinutes == row.requestedMinutes);
}

// Guards against a heartbeat that is so large that its response arrives too late for the lease.
TEST_CASE("many counts are spread over heartbeats, the newest minute first")
{
    auto report = FakeReport(BurnSender::MAX_ROWS / 2 + 1);
    auto sender = BurnSender(report.source());
    auto sent = std::size_t(0);
    auto now = TimePoint();
    for (auto heartbeat = 0; heartbeat < 40; ++heartbeat) {
        const auto part = sender.begin("a", now);
        CHECK(rowsIn(part) <= BurnSender::MAX_ROWS);
        if (heartbeat == 0)
            CHECK(part.front().startMillis == 29 * 60'000);
        sent += rowsIn(part);
        sender.end(true, now);
        now += 100ms;
    }
    CHECK(sent == 30 * (BurnSender::MAX_ROWS / 2 + 1));
    CHECK(report.requestedMinutes.size() == 1);
}

} // namespace auburnrail
