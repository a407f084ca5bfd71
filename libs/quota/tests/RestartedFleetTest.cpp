#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto HOLDERS = 9;
constexpr auto RATE = 100;  // tokens per second
constexpr auto BURST = 200; // tokens
constexpr auto BACKLOG = 30;
constexpr auto ONE_WAY = 4ms;

/// All holders start at the same time, and a leader that knows of their earlier processes is
/// elected `outage` later.
class RestartedFleet
{
public:
    explicit RestartedFleet(Duration outage)
    {
        auto leadership = ShareLeadership{.number = 2};
        for (auto index = 0; index < HOLDERS; ++index) {
            const auto name = "entry-" + std::to_string(index);
            leadership.earlierHolders.insert(name);
            this->holders.push_back(
                std::make_unique<ShareHolder>(HolderId{name, 2}, "zone", QuotaTiming()));
            this->holders.back()->setBacklog("bale", BACKLOG, this->now);
            std::ignore = this->holders.back()->beginReport(this->now);
        }
        this->now += outage;
        this->ledger.setLimits("bale", {RATE * 1000, BURST * 1000}, this->now);
        this->ledger.beginLeadership(std::move(leadership), this->now);
    }

    /// One exchange of each holder with the leader.
    auto exchangeAll() -> void
    {
        for (const auto &holder : this->holders) {
            const auto sentAt = this->now;
            const auto report = holder->beginReport(sentAt);
            this->now += ONE_WAY;
            const auto grant = this->ledger.report(report, this->now);
            this->now += ONE_WAY;
            holder->adopt(grant, sentAt + QuotaTiming().leaseDuration, this->now);
        }
    }

    /// Requests that are admitted at once.
    auto admitted() -> int
    {
        auto count = 0;
        for (const auto &holder : this->holders) {
            while (holder->tryAcquireQueued("bale", this->now))
                ++count;
        }
        return count;
    }

    TimePoint now{1h};
    std::vector<std::unique_ptr<ShareHolder>> holders;
    ShareLedger ledger{QuotaTiming()};
};

} // namespace

// Guards against an outage that goes on after it has ended: with empty buckets everywhere, all
// requests that had waited for the leader were refused.
TEST_CASE("a restarted fleet has the tokens of the time in which it admitted nothing")
{
    auto fleet = RestartedFleet(1s);
    fleet.exchangeAll(); // The holders learn of the leader.
    fleet.exchangeAll(); // The last report starts the grants.
    fleet.exchangeAll();
    const auto admitted = fleet.admitted();
    CHECK(admitted >= 0.75 * RATE);
    CHECK(admitted <= 1.3 * RATE);
}

// Guards against tokens that are granted twice: once by the earlier leader, once as unused.
TEST_CASE("no tokens are made up when a holder may have admitted requests meanwhile")
{
    const auto asked = GENERATE(true, false);
    auto fleet = RestartedFleet(1s);
    if (asked) {
        fleet.holders.back()->tokensRequested();
    } else {
        auto grant = ShareGrant{.sequence = 1, .leadership = 1};
        grant.shares.push_back({.organisation = "bale", .rate = 1000, .burst = 1000});
        REQUIRE(fleet.holders.back()->adopt(grant, fleet.now + 100ms, fleet.now));
        fleet.now += 150ms;
    }
    fleet.exchangeAll();
    fleet.exchangeAll();
    fleet.exchangeAll();
    CHECK(fleet.admitted() <= 0.3 * RATE);
}

// Guards against tokens that are taken over twice, when a response is delivered again.
TEST_CASE("a repeated grant hands over its tokens once")
{
    auto holder = ShareHolder(HolderId{"entry", 1}, "zone", QuotaTiming());
    const auto now = TimePoint(1h);
    const auto report = holder.beginReport(now);
    auto grant = ShareGrant{.sequence = report.sequence, .leadership = 1};
    grant.shares.push_back({.organisation = "bale", .rate = 1000, .burst = 9000, .tokens = 3000});
    REQUIRE(holder.adopt(grant, now + 2s, now));
    REQUIRE(holder.adopt(grant, now + 2s, now));
    auto admitted = 0;
    while (holder.tryAcquire("bale", now))
        ++admitted;
    CHECK(admitted == 3);
}

} // namespace auburnrail
