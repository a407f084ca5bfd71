#include <control/ControlTables.h>
#include <control/HeartbeatService.h>

#include "FailoverGap.h"

#include <LeaderHooks.h>

#include <core/VirtualScheduler.h>
#include <wire/FleetCodec.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto MINUTE_MILLIS = std::int64_t(60'000);

/// The tables of a leading control member on a virtual clock, with an availability and a failover
/// gap objective.
class LeadingMember
{
public:
    LeadingMember()
        : tables(scheduler.executor(), makeSeededRandom(1), leaderHooks())
        , service(tables)
    {
        this->set(Service{.name = "logs", .group = "g"});
        this->set(Objective{
            .name = "up", .kind = ObjectiveKind::Availability, .target = 0.9, .window = 24h});
        this->set(Objective{
            .name = "gap", .kind = ObjectiveKind::FailoverGap, .target = 2000, .window = 24h});
        this->tables.leadershipChanged(true, 1);
    }

    auto sendHeartbeat(const std::string &instance, std::int64_t minutesAgo, BurnCount count)
        -> void
    {
        auto heartbeat = Heartbeat{.instance = instance, .incarnation = 1, .zone = "z"};
        heartbeat.shares.holder = HolderId{instance, 1};
        heartbeat.burn = {{.source = instance + "/1",
                           .startMillis = WALL_MILLIS / MINUTE_MILLIS * MINUTE_MILLIS
                                          - minutesAgo * MINUTE_MILLIS,
                           .rows = {{BurnKey{"up", "logs", "o", ReasonCode::NoPrimary}, count}}}};
        this->service.respond(heartbeat, [](const HeartbeatAnswer &) {});
    }

    auto countOf(const std::string &objective) -> BurnCount
    {
        for (const auto &status : this->tables.burn.evaluate(WALL_MILLIS)) {
            if (status.objective == objective)
                return status.count;
        }
        return BurnCount();
    }

private:
    auto set(FleetObject object) -> void
    {
        ++this->index;
        this->tables.committed(
            this->index,
            encodeCommand(Command{CommandHeader{.commandId = std::to_string(this->index),
                                                .baseRevision = this->index - 1,
                                                .operatorName = "test"},
                                  SetObject{std::move(object)}}));
    }

    Revision index = 0;
    VirtualScheduler scheduler;

public:
    ControlTables tables;

private:
    HeartbeatService service;
};

} // namespace

// Guards against counts that are lost or counted twice when entries resend them, to the same leader
// or to the next.
TEST_CASE("a leader merges resent burn counts without counting them twice")
{
    auto first = LeadingMember();
    first.sendHeartbeat("e1", 0, {90, 10});
    first.sendHeartbeat("e1", 0, {90, 10});
    first.sendHeartbeat("e1", 0, {91, 12});
    first.sendHeartbeat("e2", 1, {5, 0});
    first.sendHeartbeat("e2", 31, {1000, 1000});
    CHECK(first.countOf("up") == BurnCount{96, 12});
    auto next = LeadingMember();
    next.sendHeartbeat("e1", 0, {91, 12});
    next.sendHeartbeat("e2", 1, {5, 0});
    CHECK(next.countOf("up") == first.countOf("up"));
}

// Guards against a failover that is missing from the objectives, and a first primary that is
// counted as a failover.
TEST_CASE("the gap of a failover depends on its cause and on its completion")
{
    struct Row
    {
        const char *name;
        FailoverCause cause;
        bool completed;
        std::optional<Duration> gap;
    };
    const auto row = GENERATE(values<Row>({
        {"suspicion, with its detection", FailoverCause::Suspicion, true, 1700ms},
        {"planned", FailoverCause::Planned, true, 700ms},
        {"resumed", FailoverCause::Resumed, true, 700ms},
        {"first primary", FailoverCause::Initial, true, std::nullopt},
        {"abandoned", FailoverCause::Suspicion, false, std::nullopt},
    }));
    CAPTURE(row.name);
    const auto start = TimePoint(10s);
    const auto record =
        FailoverRecord{.group = "g",
                       .cause = row.cause,
                       .completed = row.completed,
                       .endedAt = start + 700ms,
                       .phases = {{.phase = FailoverPhase::GrantingTerm, .startedAt = start}}};
    CHECK(detail::failoverGap(record, FailoverLimits{.suspicionThreshold = 1s}) == row.gap);
}

} // namespace auburnrail
