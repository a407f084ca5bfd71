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

    /// Runs `steps` steps of 100 ms. In each, holder i sends `perStep[i]` requests and a report.
    /// Returns the requests admitted by holder.
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

    /// As run(), where each holder asks the ledger for the tokens that its own shares lack.
    auto runWithTokens(int steps, const std::vector<int> &perStep) -> std::vector<int>
    {
        auto admitted = std::vector<int>(this->holders.size(), 0);
        for (auto step = 0; step < steps; ++step) {
            const auto own = this->run(1, perStep);
            for (auto turn = std::size_t(0); turn < this->holders.size(); ++turn) {
                const auto i = (turn + static_cast<std::size_t>(step)) % this->holders.size();
                const auto missing = static_cast<std::uint32_t>(perStep[i] - own[i]);
                const auto response = this->ledger.takeTokens(
                    {.holder = {"entry-" + std::to_string(i), 1}, .demands = {{"bale", missing}}},
                    this->now);
                admitted[i] += own[i] + static_cast<int>(response.grants.at(0).tokens);
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

// Guards against a guarantee per instance, which would favour zones with more instances.
TEST_CASE("half of the limits is divided over zones first and the rest follows demand")
{
    auto fleet = Fleet({"oamaru-a", "oamaru-a", "timaru-b"});
    fleet.ledger.setLimits("bale", {120'000, 240'000}, fleet.now);
    // Demand exceeds the limit: 15, 15 and 30 per second are guaranteed, and 20 each follow demand.
    fleet.run(40, {10, 10, 10});
    CHECK(fleet.share(0).rate == Approx(35'000).epsilon(0.01));
    CHECK(fleet.share(1).rate == Approx(35'000).epsilon(0.01));
    CHECK(fleet.share(2).rate == Approx(50'000).epsilon(0.01));
    // 10 per second are within the guarantee of the second holder, so it gets all of them plus
    // headroom.
    fleet.run(40, {10, 1, 0});
    CHECK(fleet.share(1).rate >= 12'000);
    CHECK(fleet.share(0).rate >= 100'000);
    CHECK(fleet.ledger.allocated("bale").rate <= 120'000);
    CHECK(fleet.ledger.allocated("bale").burst <= 240'000);
}

// Guards against starvation when 5 tokens are divided over 9 holders: each gets less than one
// token. Such limits are not divided; each waiting request asks the ledger for a token.
TEST_CASE("every holder makes progress when the burst has fewer tokens than there are holders")
{
    auto fleet = Fleet({"a", "a", "a", "b", "b", "b", "c", "c", "c"});
    fleet.ledger.setLimits("bale", {5'000, 5'000}, fleet.now);
    const auto admitted = fleet.runWithTokens(300, std::vector<int>(9, 1));
    auto sum = 0;
    for (const auto count : admitted) {
        CHECK(count >= 5);
        sum += count;
    }
    CHECK(sum <= 5 + 5 * 30);
    CHECK(sum >= 75);
}

// Guards against granting to others what a holder may still use: the old share counts until the
// holder confirms the new one.
TEST_CASE("a share above a lowered limit stays counted until the holder confirms the smaller one")
{
    auto fleet = Fleet({"a"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5});
    const auto before = fleet.share(0);
    fleet.ledger.setLimits("bale", {10'000, 5'000}, fleet.now);
    CHECK(fleet.ledger.allocated("bale").rate == before.rate);
    fleet.exchange(0);
    CHECK(fleet.share(0).rate <= 10'000);
    CHECK(fleet.ledger.allocated("bale").rate == before.rate);
    fleet.exchange(0);
    CHECK(fleet.ledger.allocated("bale").rate <= 10'000);
    CHECK(fleet.ledger.allocated("bale").burst <= 5'000);
}

// Guards against two holders using the same share after a crash: it is reclaimed only after the
// lease wait.
TEST_CASE("an unresponsive holder's share is reclaimed after its lease wait, not before")
{
    auto fleet = Fleet({"a", "b"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5, 5});
    const auto unresponsiveSince = fleet.now;
    fleet.now = unresponsiveSince + 2s;
    fleet.exchange(1);
    CHECK(fleet.share(0) == Share());
    CHECK(fleet.ledger.allocated("bale").rate > fleet.share(1).rate);
    fleet.now = unresponsiveSince + QuotaTiming().leaseWait();
    fleet.ledger.expire(fleet.now);
    CHECK(fleet.ledger.allocated("bale").rate == fleet.share(1).rate);
}

// Guards against a grant that is applied after the ledger has stopped counting it.
TEST_CASE("a holder applies only the grant for its latest report, and only within its lease")
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

// Guards against a new leader that grants what unreported holders still use. The third entry sends
// nothing.
TEST_CASE("a new leader accepts reported shares and grants the rest only after the lease wait")
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
    CHECK(fleet.ledger.allocated("bale").rate <= 100'000);
}

// Guards against two seconds of refusals after every leader change and after a restart of the whole
// fleet. Once every entry has reported under the new leader, no share is in use unreported.
TEST_CASE("a new leader grants as soon as every earlier holder has reported under it")
{
    auto fleet = Fleet({"a", "b"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    fleet.run(20, {5, 0});
    fleet.beginLeadership(2);
    fleet.run(4, {5, 5});
    CHECK(fleet.share(1).rate > 0);
    CHECK(fleet.ledger.allocated("bale").rate <= 100'000);
}

// Guards against a delayed report that lists less than what is in use, because the previous leader
// granted more after the report was made.
TEST_CASE("a report made before the holder saw the new leader does not end the wait")
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

// Guards against no longer counting the first of two grants for a duplicated report: the holder may
// apply either.
TEST_CASE("all grants for a duplicated report stay counted until the next report")
{
    auto fleet = Fleet({"a"});
    fleet.ledger.setLimits("bale", {100'000, 50'000}, fleet.now);
    auto report = ShareReport{{"one", 1}, "a", 1, {{"bale", 90}}, {}};
    const auto first = fleet.ledger.report(report, fleet.now);
    REQUIRE(first.shares.size() == 1);
    fleet.ledger.setLimits("bale", {20'000, 20'000}, fleet.now + 1s);
    const auto second = fleet.ledger.report(report, fleet.now + 1s);
    REQUIRE(second.shares.size() == 1);
    CHECK(second.shares[0].rate < first.shares[0].rate);
    CHECK(second.shares[0].burst < first.shares[0].burst);
    CHECK(fleet.ledger.allocated("bale") == first.shares[0]);
    report.sequence = 2;
    report.heldShares = second.shares;
    CHECK(fleet.ledger.report(report, fleet.now + 1s).shares.empty());
    CHECK(fleet.ledger.allocated("bale") == second.shares[0]);
    report.sequence = 1;
    report.heldShares = {};
    CHECK(fleet.ledger.report(report, fleet.now + 1s).shares.empty());
    CHECK(fleet.ledger.allocated("bale") == second.shares[0]);
}

// Guards against a held response that is not sent in time: without the hook, a reduction of a share
// waits for the end of long polling.
TEST_CASE("the ledger calls the hook for holders whose share would change urgently")
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
