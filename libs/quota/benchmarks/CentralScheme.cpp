#include <Schemes.h>

#include <core/TokenBucket.h>

#include <memory>

namespace auburnrail {

namespace {

constexpr auto ROUND_TRIP = Duration(std::chrono::milliseconds(8));

struct Central
{
    std::map<std::string, TokenBucket> buckets;
    bool partitioned = false;
    std::size_t messages = 0;
};

} // namespace

auto makeCentralScheme(const Workload &workload, VirtualScheduler &scheduler) -> Scheme
{
    const auto central = std::make_shared<Central>();
    for (const auto &[organisation, limits] : workload.limits) {
        central->buckets.emplace(organisation, TokenBucket(static_cast<double>(limits.rate) / 1000,
                                                           static_cast<double>(limits.burst) / 1000,
                                                           scheduler.now()));
    }
    auto scheme = Scheme{.name = "central_bucket", .decisionDelay = ROUND_TRIP};
    scheme.acquire = [central, &scheduler](auto entry, const auto &organisation, bool first) {
        central->messages += first ? 2 : 0;
        const auto isolated =
            central->partitioned && entry >= Workload::ENTRIES - Workload::ENTRIES_PER_ZONE;
        return !isolated && central->buckets.at(organisation).tryTake(scheduler.now());
    };
    scheme.setPartitioned = [central](bool partitioned) {
        central->partitioned = partitioned;
    };
    scheme.messages = [central] {
        return central->messages;
    };
    return scheme;
}

} // namespace auburnrail
