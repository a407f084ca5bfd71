#include <control/ControlTables.h>

#include <wire/FleetCodec.h>

#include <LeaderHooks.h>

#include <core/VirtualScheduler.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// A leading control member whose log commits at once, with the group g of e1, its primary, and e2.
class PromotingMember
{
public:
    PromotingMember(OrderAnswer answer, bool leadsAfter)
        : tables(scheduler.executor(), makeSeededRandom(1), this->makeHooks(answer, leadsAfter))
    {
        this->commit(SetObject{Service{.name = "s", .group = "g"}});
        this->commit(SetObject{Group{.name = "g"}});
        for (const auto *name : {"e1", "e2"})
            this->commit(SetObject{Endpoint{.name = name,
                                            .group = "g",
                                            .zone = "z",
                                            .address = "127.0.0.1:1",
                                            .startedAt = 5}});
        this->tables.leadershipChanged(true, 1);
    }

    auto runFor(Duration length) -> void
    {
        const auto end = this->scheduler.now() + length;
        while (this->scheduler.now() < end) {
            this->scheduler.runFor(50ms);
            this->tables.tick(this->scheduler.now());
        }
    }

    auto metrics() -> std::string
    {
        return this->tables.metrics.toText({});
    }

private:
    auto makeHooks(OrderAnswer answer, bool leadsAfter) -> ControlTablesHooks
    {
        auto hooks = leaderHooks();
        hooks.propose = [this](const std::string &payload) -> absl::StatusOr<Revision> {
            const auto revision = ++this->index;
            this->scheduler.executor().post(
                [this, revision, payload] { this->tables.committed(revision, payload); });
            return revision;
        };
        hooks.endpointHooks = EndpointRoleHooks{
            .fence = [](const GroupEndpoint &, const std::string &,
                        std::uint64_t) { return FenceResponse{.accepted = true}; },
            .promote = [answer](const GroupEndpoint &, const std::string &, std::uint64_t,
                                const std::vector<GroupEndpoint> &) { return answer; },
            .status =
                [leadsAfter](const GroupEndpoint &, const std::string &) {
                    return EndpointRoleStatus{.isPrimary = leadsAfter};
                },
            .follow =
                [](const GroupEndpoint &, const std::string &, std::uint64_t,
                   const GroupEndpoint &) {
                    return true;
                }};
        return hooks;
    }

    auto commit(CommandBody body) -> void
    {
        this->tables.committed(++this->index,
                               encodeCommand(this->tables.makeCommand(std::move(body))));
    }

    Revision index = 0;
    VirtualScheduler scheduler;

public:
    ControlTables tables;
};

} // namespace

// Guards against orders whose outcome nobody can find out: one without an answer may take effect
// after another endpoint was published.
TEST_CASE("every promotion that was ordered is counted by its outcome")
{
    struct Row
    {
        OrderAnswer answer;
        bool leadsAfter;
        PromotionOutcome outcome;
    };
    const auto row = GENERATE(values<Row>({
        {OrderAnswer::Accepted, true, PromotionOutcome::TookEffect},
        {OrderAnswer::Accepted, false, PromotionOutcome::NotSeen},
        {OrderAnswer::Refused, true, PromotionOutcome::Refused},
        {OrderAnswer::NotSent, true, PromotionOutcome::NotSent},
        {OrderAnswer::NoAnswer, true, PromotionOutcome::NoAnswer},
    }));
    CAPTURE(nameOf(row.outcome));
    auto member = PromotingMember(row.answer, row.leadsAfter);
    member.runFor(60s);
    const auto text = member.metrics();
    CAPTURE(text);
    for (const auto &outcome : ENUM_NAMES<PromotionOutcome>) {
        const auto isUnused = text.find("auburnrail_promotion_orders_total{outcome=\""
                                        + std::string(outcome.name) + "\"} 0\n")
                              != std::string::npos;
        CHECK(isUnused == (outcome.value != row.outcome));
    }
    if (row.outcome == PromotionOutcome::TookEffect) {
        const auto records = member.tables.failovers.find("g");
        REQUIRE(records.size() == 1);
        REQUIRE(records.front().lastPromotion);
        CHECK(records.front().lastPromotion->endpoint == records.front().newPrimary);
        CHECK(text.find("auburnrail_failovers_total{cause=\"initial\",outcome=\"replaced\"} 1\n")
              != std::string::npos);
    }
}

} // namespace auburnrail
