#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto BURST = std::int64_t(100'000);

/// A ledger whose two earlier holders come back after they were idle.
struct Fixture
{
    Fixture()
    {
        this->ledger.setLimits("bale", {BURST, BURST}, this->now);
        this->ledger.beginLeadership({.number = 2, .earlierHolders = {"one", "two"}}, this->now);
    }

    auto report(const std::string &name, std::vector<Share> held = {}, double perSecond = 50)
        -> std::int64_t
    {
        const auto report = ShareReport{.holder = {name, 1},
                                        .zone = "a",
                                        .sequence = ++this->sequence,
                                        .demands = {{"bale", perSecond}},
                                        .heldShares = std::move(held),
                                        .idle = this->idle,
                                        .leadership = 2};
        const auto grant = this->ledger.report(report, this->now);
        this->last = grant.shares.empty() ? Share() : grant.shares.front();
        return this->last.tokens;
    }

    ShareLedger ledger{QuotaTiming()};
    TimePoint now = TimePoint(1h);
    Duration idle = 500ms;
    std::uint64_t sequence = 0;
    Share last;
};

} // namespace

// Guards against tokens that the organisation's bucket would not hold: half a second was idle.
TEST_CASE("the credit is what the idle time would have filled")
{
    auto fixture = Fixture();
    CHECK(fixture.report("one") == 0);
    auto given = fixture.report("two") + fixture.report("one");
    for (auto round = 0; round < 20; ++round) {
        // A holder whose share shrinks and grows again.
        const auto share = fixture.last;
        given += fixture.report("one", {{"bale", share.rate, share.burst}}, round % 2 * 80.0);
        given += fixture.report("two");
        fixture.now += 1ms;
    }
    CHECK(given > 0.4 * BURST);
    CHECK(given <= 0.5 * BURST);
}

// Guards against a credit on top of buckets that have filled since.
TEST_CASE("the credit shrinks as buckets fill")
{
    auto fixture = Fixture();
    fixture.report("one");
    fixture.report("two");
    fixture.now += 1s;
    CHECK(fixture.report("one") == 0);
    CHECK(fixture.last.burst > 0);
}

// Guards against a credit while a holder that was not heard may have admitted until just now.
TEST_CASE("without word of every holder there is no credit")
{
    auto fixture = Fixture();
    fixture.report("one");
    fixture.now += QuotaTiming().leaseWait();
    CHECK(fixture.report("one") == 0);
    CHECK(fixture.last.burst > 0);
}

// Guards against a holder that still used shares.
TEST_CASE("a holder with a share was not idle")
{
    auto fixture = Fixture();
    fixture.report("one");
    fixture.idle = 0ms;
    fixture.report("two", {{"bale", BURST / 2, BURST / 2}});
    CHECK(fixture.report("one") == 0);
}

// Guards against tokens twice for one answer, which the network or a repeated report may deliver
// twice.
TEST_CASE("an answer that comes twice brings its tokens once")
{
    auto now = TimePoint(1h);
    auto holder = ShareHolder({"one", 1}, "a", QuotaTiming());
    CHECK_FALSE(holder.tryAcquire("bale", now));
    const auto report = holder.beginReport(now);
    auto grant = ShareGrant{.sequence = report.sequence, .shares = {{"bale", 1, BURST, 2'000}}};
    REQUIRE(holder.adopt(grant, now + 2s, now));
    CHECK(holder.tryAcquire("bale", now));
    REQUIRE(holder.adopt(grant, now + 2s, now));
    CHECK(holder.tryAcquire("bale", now));
    CHECK_FALSE(holder.tryAcquire("bale", now));
}

} // namespace auburnrail
