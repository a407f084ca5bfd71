#include <lease/LeaseHolder.h>
#include <lease/LeaseTable.h>
#include <lease/LeaseTiming.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

constexpr auto START = TimePoint(std::chrono::hours(1));
constexpr auto AFTER_WAIT = START + LEASE_LIVE_DURATION;

auto leader(bool &quorum) -> LeaseTable
{
    return LeaseTable(LeaseTableHooks{.hasQuorum = [&quorum](TimePoint) {
        return quorum;
    }});
}

} // namespace

// Guards against a new leader that finds a change in force while leases of the old one are live.
TEST_CASE("a new leader waits for the leases that it does not know")
{
    auto quorum = true;
    auto table = leader(quorum);
    CHECK(table.renew({"a", 1}, 5, START).status == LeaseStatus::NotLeader);
    CHECK_FALSE(table.isInForce(0, START));
    table.beginLeadership(5, START);
    CHECK(table.nextExpiry(START) == AFTER_WAIT);
    CHECK_FALSE(table.isInForce(5, AFTER_WAIT - Duration(1)));
    CHECK(table.isInForce(5, AFTER_WAIT));
    CHECK_FALSE(table.nextExpiry(AFTER_WAIT).has_value());
}

// Guards against a change that is reported in force while a lease names an older revision, and
// against waiting commands that are never answered.
TEST_CASE("a change is in force when every live lease names it or the others expired")
{
    auto quorum = true;
    auto table = leader(quorum);
    table.beginLeadership(5, START);
    const auto now = AFTER_WAIT;
    (void)table.renew({"a", 1}, 5, now);
    (void)table.renew({"b", 1}, 5, now);
    // The earlier run of a restarted instance may only be frozen.
    (void)table.renew({"b", 2}, 6, now);
    auto answers = std::vector<bool>();
    table.whenInForce(6, [&answers](bool inForce) { answers.push_back(inForce); });
    table.whenInForce(9, [&answers](bool inForce) { answers.push_back(inForce); });
    (void)table.renew({"a", 1}, 6, now + Duration(1));
    CHECK(answers.empty());
    CHECK_FALSE(table.isInForce(6, now + LEASE_LIVE_DURATION - Duration(1)));
    (void)table.renew({"a", 1}, 6, now + LEASE_DURATION);
    (void)table.renew({"b", 2}, 6, now + LEASE_DURATION);
    CHECK(table.nextExpiry(now + LEASE_DURATION) == now + LEASE_LIVE_DURATION);
    table.advance(now + LEASE_LIVE_DURATION);
    CHECK(answers == std::vector<bool>{true});
    CHECK(table.size() == 2);
    table.endLeadership();
    CHECK(answers == std::vector<bool>{true, false});
    table.whenInForce(6, [&answers](bool inForce) { answers.push_back(inForce); });
    CHECK(answers.size() == 3);
}

// Guards against late messages that move an instance back, against grants without a majority, and
// against a lease that lets an instance serve a state older than one found in force.
TEST_CASE("renewals are granted, refused or bound to a minimum revision")
{
    auto quorum = true;
    auto table = leader(quorum);
    table.beginLeadership(5, START);
    CHECK(table.renew({"a", 1}, 7, START)
          == LeaseGrant{LeaseStatus::Granted, LEASE_DURATION, Revision(5)});
    CHECK(table.renew({"a", 1}, 6, START).status == LeaseStatus::LowerRevision);
    CHECK(table.renew({"a", 2}, 6, START).status == LeaseStatus::Granted);
    (void)table.renew({"a", 2}, 7, START);
    CHECK(table.isInForce(7, AFTER_WAIT - Duration(1)) == false);
    CHECK(table.isInForce(7, AFTER_WAIT));
    CHECK(table.renew({"late", 1}, 6, AFTER_WAIT).minimumRevision == 7);
    // Its reply was lost; it still is at 6.
    CHECK(table.renew({"late", 1}, 6, AFTER_WAIT).status == LeaseStatus::Granted);
    quorum = false;
    CHECK(table.renew({"a", 2}, 8, AFTER_WAIT).status == LeaseStatus::NotLeader);
    CHECK_FALSE(table.isInForce(7, AFTER_WAIT));
}

// Guards against an entry that measures its lease from the reply, or uses one that it may not.
TEST_CASE("a holder counts its lease from the send time")
{
    auto holder = LeaseHolder();
    holder.setRevision(5);
    const auto first = holder.beginHeartbeat(START);
    const auto second = holder.beginHeartbeat(START + std::chrono::seconds(1));
    const auto grant = LeaseGrant{LeaseStatus::Granted, LEASE_DURATION, 5};
    CHECK_FALSE(holder.holds(START));
    CHECK(holder.completeHeartbeat(second, grant, START + std::chrono::seconds(1)));
    CHECK(holder.completeHeartbeat(first, grant, START + std::chrono::seconds(1)));
    const auto end = second.sentAt + LEASE_DURATION;
    CHECK(holder.holds(end - Duration(1)));
    CHECK_FALSE(holder.holds(end));
    CHECK_FALSE(holder.completeHeartbeat(first, grant, end));
    const auto third = holder.beginHeartbeat(end);
    CHECK_FALSE(holder.completeHeartbeat(third, {LeaseStatus::Granted, LEASE_DURATION, 6}, end));
    CHECK_FALSE(holder.completeHeartbeat(third, {LeaseStatus::NotLeader, LEASE_DURATION, 5}, end));
    CHECK_FALSE(holder.holds(end));
    holder.setRevision(4);
    CHECK(holder.revision() == 5);
}

} // namespace auburnrail
