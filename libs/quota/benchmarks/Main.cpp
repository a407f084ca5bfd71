#include <Comparison.h>
#include <LedgerScale.h>
#include <Schemes.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <vector>

using namespace auburnrail;

// Compares schemes for one workload, given by its seed, and measures the ledger. Prints one JSON
// object.
auto main(int argc, char **argv) -> int
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1ULL;
    using MakeScheme = std::function<auto(const Workload &, VirtualScheduler &)->Scheme>;
    const auto workload = makeWorkload(seed);
    auto schemes = std::vector<JsonWriter>();
    for (const MakeScheme &make : {MakeScheme(makeShareLedgerScheme), MakeScheme(makeFixedScheme),
                                   MakeScheme(makeCentralScheme)}) {
        auto scheduler = VirtualScheduler();
        const auto scheme = make(workload, scheduler);
        schemes.push_back(runComparison(workload, scheme, scheduler));
    }
    auto ledgers = std::vector<JsonWriter>();
    for (const auto organisations : {100, 1'000, 10'000, 100'000})
        ledgers.push_back(measureLedger(static_cast<std::size_t>(organisations), 100, 3));
    auto wide = std::vector<JsonWriter>();
    for (const auto holders : {9, 100, 600, 2'300}) {
        const auto count = static_cast<std::size_t>(holders);
        wide.push_back(measureLedger(8, count, count));
    }
    auto json = JsonWriter();
    json.integer("seed", static_cast<std::int64_t>(seed))
        .objects("schemes", schemes)
        .objects("ledger_by_organisations", ledgers)
        .objects("ledger_by_holders", wide);
    std::puts(json.toIndentedString().c_str());
    return 0;
}
