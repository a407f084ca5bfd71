#include <LedgerScale.h>

#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>

#include <malloc.h>

#include <memory>
#include <vector>

namespace auburnrail {

namespace {

constexpr auto ZONES = std::size_t(15);
constexpr auto ROUNDS = 10;

} // namespace

auto measureLedger(std::size_t organisations, std::size_t holders, std::size_t holdersEach)
    -> JsonWriter
{
    // Otherwise the first allocations merge memory that the previous run freed.
    ::malloc_trim(0);
    auto now = TimePoint(std::chrono::hours(1));
    auto sides = std::vector<std::unique_ptr<ShareHolder>>();
    for (auto i = std::size_t(0); i < holders; ++i) {
        sides.push_back(std::make_unique<ShareHolder>(
            HolderId{std::to_string(i), 1}, "zone-" + std::to_string(i % ZONES), QuotaTiming()));
    }
    const auto offer = [&] {
        for (auto i = std::size_t(0); i < organisations; ++i) {
            for (auto j = std::size_t(0); j < holdersEach; ++j)
                sides[(i * 7 + j) % holders]->tryAcquire("organisation-" + std::to_string(i), now);
        }
    };
    offer();
    auto ledger = std::make_unique<ShareLedger>(QuotaTiming());
    ledger->beginLeadership({.number = 1}, now - QuotaTiming().leaseWait());
    for (auto i = std::size_t(0); i < organisations; ++i) {
        ledger->setLimits("organisation-" + std::to_string(i), {1'000'000, 10'000'000}, now);
    }
    auto spent = Duration::zero();
    auto reports = std::size_t(0);
    for (auto round = 0; round < ROUNDS; ++round) {
        for (auto &side : sides) {
            now += std::chrono::microseconds(500'000 / holders);
            const auto report = side->beginReport(now);
            const auto started = std::chrono::steady_clock::now();
            const auto grant = ledger->report(report, now);
            spent += std::chrono::steady_clock::now() - started;
            ++reports;
            side->adopt(grant, now + QuotaTiming().leaseDuration, now);
        }
        offer();
    }
    // Holders allocate memory too, so the ledger's memory is what its destruction frees.
    const auto allocated = ::mallinfo2().uordblks;
    ledger.reset();
    const auto memory = allocated - ::mallinfo2().uordblks;
    auto json = JsonWriter();
    json.integer("organisations", static_cast<std::int64_t>(organisations))
        .integer("holders", static_cast<std::int64_t>(holders))
        .integer("holders_each", static_cast<std::int64_t>(holdersEach))
        .number("bytes_per_organisation",
                static_cast<double>(memory) / static_cast<double>(organisations))
        .number("bytes_per_claim",
                static_cast<double>(memory) / static_cast<double>(organisations * holdersEach))
        .number("us_per_report",
                1e-3 * static_cast<double>(spent.count()) / static_cast<double>(reports))
        .number("us_per_claim_reported",
                1e-3 * static_cast<double>(spent.count())
                    / static_cast<double>(ROUNDS * organisations * holdersEach));
    return json;
}

} // namespace auburnrail
