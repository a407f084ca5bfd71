#include <entry/BurnSender.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// A report with `rowsPerMinute` rows in each minute asked for; records what it was asked for.
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
            this->asked.push_back(minutes);
            auto list = std::vector<BurnContribution>();
            for (auto minute = 0; minute < minutes; ++minute) {
                list.push_back(BurnContribution{.source = "e/1",
                                                .startMillis = minute * 60'000,
                                                .rows = std::vector<BurnRow>(this->rows)});
            }
            return list;
        };
    }

    std::vector<int> asked;

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
    struct Beat
    {
        const char *member;
        Duration at;
        bool granted;
    };
    struct Row
    {
        const char *name;
        std::vector<Beat> beats;
        std::vector<int> asked;
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
    for (const auto &beat : row.beats) {
        std::ignore = sender.begin(beat.member, TimePoint(beat.at));
        sender.end(beat.granted, TimePoint(beat.at));
    }
    CHECK(report.asked == row.asked);
}

// Guards against a heartbeat so large that its answer is too late for the lease.
TEST_CASE("many counts are spread over heartbeats, the newest minute first")
{
    auto report = FakeReport(BurnSender::MAX_ROWS / 2 + 1);
    auto sender = BurnSender(report.source());
    auto sent = std::size_t(0);
    auto now = TimePoint();
    for (auto beat = 0; beat < 40; ++beat) {
        const auto part = sender.begin("a", now);
        CHECK(rowsIn(part) <= BurnSender::MAX_ROWS);
        if (beat == 0)
            CHECK(part.front().startMillis == 29 * 60'000);
        sent += rowsIn(part);
        sender.end(true, now);
        now += 100ms;
    }
    CHECK(sent == 30 * (BurnSender::MAX_ROWS / 2 + 1));
    CHECK(report.asked.size() == 1);
}

} // namespace auburnrail
