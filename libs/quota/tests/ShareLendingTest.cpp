#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>

#include <catch2/catch.hpp>

#include <memory>
#include <tuple>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

/// A ledger and its holders on one clock without message delay.
struct Fleet
{
    explicit Fleet(std::vector<std::string> zones)
    {
        for (const auto &zone : zones) {
            const auto id = HolderId{"entry-" + std::to_string(this->holders.size()), 1};
            this->holders.push_back(std::make_unique<ShareHolder>(id, zone, QuotaTiming()));
        }
        this->beginLeadership(1);
        this->now += QuotaTiming().leaseWait();
    }

    auto beginLeadership(std::uint64_t number) -> void
    {
        auto leadership = ShareLeadership{.number = number};
        for (auto i = std::size_t(0); i < this->holders.size(); ++i)
            leadership.earlierHolders.insert("entry-" + std::to_string(i));
        this->ledger.beginLeadership(std::move(leadership), this->now);
    }

    auto exchange(std::size_t index) -> void
    {
        const auto report = this->holders[index]->beginReport(this->now);
        const auto grant = this->ledger.report(report, this->now);
        this->holders[index]->adopt(grant, this->now + 2s, this->now);
    }

    /// Every holder in `senders` offers `perStep` requests and reports, `steps` times in 100 ms.
    auto run(int steps, const std::vector<int> &perStep) -> std::vector<int>
    {
        auto admitted = std::vector<int>(this->holders.size(), 0);
        for (auto step = 0; step < steps; ++step) {
            this->now += 100ms;
            for (auto i = std::size_t(0); i < this->holders.size(); ++i) {
                for (auto request = 0; request < perStep[i]; ++request)
                    admitted[i] += this->holders[i]->tryAcquire("bale", this->now) ? 1 : 0;
                this->exchange(i);
            }
        }
        return admitted;
    }

    auto share(std::size_t index) -> Share
    {
        const auto shares = this->holders[index]->heldShares(this->now);
        return shares.empty() ? Share() : shares.front();
    }

    TimePoint now = TimePoint(1h);
    ShareLedger ledger{QuotaTiming()};
    std::vector<std::unique_ptr<ShareHolder>> holders;
};

} // namespace

// Guards against a guarantee per instance, which would favour the zone with more instances.
TEST_CASE("half of the limits is spread over zones first and the rest follows demand")
{
    auto fleet = Fleet({"oamaru-a", "oamaru-a", "timaru-b"});
    fleet.ledger.setLimits("bale", {120'000, 240'000}, fleet.now);
    // All want more than there is: 15, 15 and 30 are guaranteed, and 20 each follow demand.
    fleet.run(40, {10, 10, 10});
    CHECK(fleet.share(0).rate == Approx(35'000).epsilon(0.01));
    CHECK(fleet.share(1).rate == Approx(35'000).epsilon(0.01));
    CHECK(fleet.share(2).rate == Approx(50'000).epsilon(0.01));
    // 10 a second are within the guarantee of the second holder, so it gets all of them and
    // headroom.
    fleet.run(40, {10, 1, 0});
    CHECK(fleet.share(1).rate >= 12'000);
    CHECK(fleet.share(0).rate >= 100'000);
    CHECK(fleet.ledger.lent("bale").rate <= 120'000);
    CHECK(fleet.ledger.lent("bale").burst <= 240'000);
}

// Guards against starvation by fragments: 5 tokens over 9 holders are less than one token each.
TEST_CASE("every holder progresses when the burst has fewer tokens than there are holders")
{
    auto fleet = Fleet({"a", "a", "a", "b", "b", "b", "c", "c", "c"});
    fleet.ledger.setLimits("bale", {5'000, 5'000}, fleet.now);
    const auto admitted = fleet.run(300, std::vector<int>(9, 1));
    auto sum = 0;
    for (const auto count : admitted) {
        CHECK(count >= 5);
        sum += count;
    }
    CHECK(sum <= 5 + 5 * 30);
    CHECK(sum >= 75);
}

// Guards against lending what a holder may still use: the old share counts until it is confirmed.
TEST_CASE("a lowered limit counts as lent until the holder confirms the smaller share")
{
    auto fleet = Fleet({"a"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5});
    const auto before = fleet.share(0);
    fleet.ledger.setLimits("bale", {10'000, 5'000}, fleet.now);
    CHECK(fleet.ledger.lent("bale").rate == before.rate);
    fleet.exchange(0);
    CHECK(fleet.share(0).rate <= 10'000);
    CHECK(fleet.ledger.lent("bale").rate == before.rate);
    fleet.exchange(0);
    CHECK(fleet.ledger.lent("bale").rate <= 10'000);
    CHECK(fleet.ledger.lent("bale").burst <= 5'000);
}

// Guards against a share that two holders use after a crash: it returns only after the lease wait.
TEST_CASE("a silent holder's share returns after its lease wait, not before")
{
    auto fleet = Fleet({"a", "b"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5, 5});
    const auto silentSince = fleet.now;
    fleet.now = silentSince + 2s;
    fleet.exchange(1);
    CHECK(fleet.share(0) == Share());
    CHECK(fleet.ledger.lent("bale").rate > fleet.share(1).rate);
    fleet.now = silentSince + QuotaTiming().leaseWait();
    fleet.ledger.expire(fleet.now);
    CHECK(fleet.ledger.lent("bale").rate == fleet.share(1).rate);
}

// Guards against an answer that is adopted after the ledger stopped counting it.
TEST_CASE("a holder adopts only the answer to its latest report and within its lease")
{
    auto fleet = Fleet({"a"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.holders[0]->tryAcquire("bale", fleet.now);
    const auto early = fleet.ledger.report(fleet.holders[0]->beginReport(fleet.now), fleet.now);
    REQUIRE(early.shares.size() == 1);
    const auto late = fleet.ledger.report(fleet.holders[0]->beginReport(fleet.now), fleet.now);
    CHECK_FALSE(fleet.holders[0]->adopt(early, fleet.now + 2s, fleet.now));
    CHECK_FALSE(fleet.holders[0]->adopt(late, fleet.now + 2s, fleet.now + 2s));
    CHECK(fleet.share(0) == Share());
    CHECK(fleet.holders[0]->adopt(late, fleet.now + 2s, fleet.now + 1s));
}

// Guards against a new leader that lends what unseen holders still use. The third entry is silent.
TEST_CASE("a new leader adopts reported shares and lends the rest only after the wait")
{
    auto fleet = Fleet({"a", "b", "b"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5, 0, 0});
    const auto held = fleet.share(0);
    const auto elected = fleet.now;
    fleet.beginLeadership(2);
    for (auto step = 0; step < 15; ++step) {
        fleet.now += 100ms;
        for (const auto index : {0U, 1U}) {
            std::ignore = fleet.holders[index]->tryAcquire("bale", fleet.now);
            fleet.exchange(index);
        }
    }
    CHECK(fleet.share(0) == held);
    CHECK(fleet.share(1) == Share());
    fleet.now = elected + QuotaTiming().leaseWait();
    fleet.run(5, {5, 5, 0});
    CHECK(fleet.share(1).rate > 0);
    CHECK(fleet.ledger.lent("bale").rate <= 100'000);
}

// Guards against two seconds of refusals after every change of leader, and after a restart of the
// whole fleet: once every entry has reported under the new leader, nothing is in use unseen.
TEST_CASE("a new leader lends as soon as every earlier holder has reported under it")
{
    auto fleet = Fleet({"a", "b"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5, 0});
    fleet.beginLeadership(2);
    fleet.run(4, {5, 5});
    CHECK(fleet.share(1).rate > 0);
    CHECK(fleet.ledger.lent("bale").rate <= 100'000);
}

// Guards against a late report that the former leader answered with more, later: it says less than
// what is in use.
TEST_CASE("a report made before the holder heard of the new leader does not end the wait")
{
    auto fleet = Fleet({"a", "b"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(1, {5, 0});
    std::ignore = fleet.holders[0]->tryAcquire("bale", fleet.now);
    const auto late = fleet.holders[0]->beginReport(fleet.now);
    fleet.run(20, {5, 0});
    const auto inUse = fleet.share(0);
    REQUIRE(inUse.rate > 0);
    fleet.beginLeadership(2);
    std::ignore = fleet.ledger.report(late, fleet.now);
    for (auto step = 0; step < 4; ++step) {
        fleet.now += 100ms;
        std::ignore = fleet.holders[1]->tryAcquire("bale", fleet.now);
        fleet.exchange(1);
    }
    CHECK(fleet.share(1) == Share());
}

// Guards against forgetting the first of two answers to a repeated report: the holder may adopt
// either.
TEST_CASE("all answers to a repeated report stay counted until the next report")
{
    auto fleet = Fleet({"a"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    auto report = ShareReport{{"one", 1}, "a", 1, {{"bale", 90}}, {}};
    const auto first = fleet.ledger.report(report, fleet.now);
    REQUIRE(first.shares.size() == 1);
    fleet.ledger.setLimits("bale", {10'000, 5'000}, fleet.now + 1s);
    const auto second = fleet.ledger.report(report, fleet.now + 1s);
    REQUIRE(second.shares.size() == 1);
    CHECK(second.shares[0].rate < first.shares[0].rate);
    CHECK(second.shares[0].burst < first.shares[0].burst);
    CHECK(fleet.ledger.lent("bale") == first.shares[0]);
    report.sequence = 2;
    report.heldShares = second.shares;
    CHECK(fleet.ledger.report(report, fleet.now + 1s).shares.empty());
    CHECK(fleet.ledger.lent("bale") == second.shares[0]);
    report.sequence = 1;
    report.heldShares = {};
    CHECK(fleet.ledger.report(report, fleet.now + 1s).shares.empty());
    CHECK(fleet.ledger.lent("bale") == second.shares[0]);
}

// Guards against a held answer that nobody sends: without the hook a shrink waits for long polling.
TEST_CASE("the ledger announces holders whose share would change")
{
    auto ready = std::vector<HolderId>();
    auto ledger = ShareLedger(QuotaTiming(), {[&](const HolderId &id) {
                                  ready.push_back(id);
                              }});
    const auto now = TimePoint(1h) + QuotaTiming().leaseWait();
    ledger.beginLeadership({.number = 1}, TimePoint(1h));
    ledger.setLimits("bale", {100'000, 50'000}, now);
    const auto report = [](std::string name, std::vector<Share> shares) {
        return ShareReport{{name, 1}, "a", shares.empty() ? 1U : 2U, {{"bale", 90}}, shares};
    };
    const auto first = ledger.report(report("one", {}), now);
    REQUIRE(first.shares.size() == 1);
    CHECK(ledger.report(report("one", first.shares), now).shares.empty());
    CHECK(ready.empty());
    (void)ledger.report(report("two", {}), now + 1s);
    CHECK(ready == std::vector<HolderId>{{"one", 1}});
    CHECK(ledger.grant({"one", 1}, now + 1s).shares.size() == 1);
}

} // namespace auburnrail
