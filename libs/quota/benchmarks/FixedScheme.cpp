#include <Schemes.h>

#include <core/TokenBucket.h>

#include <memory>

namespace auburnrail {

auto makeFixedScheme(const Workload &workload, VirtualScheduler &scheduler) -> Scheme
{
    const auto buckets =
        std::make_shared<std::map<std::pair<std::size_t, std::string>, TokenBucket>>();
    for (auto entry = std::size_t(0); entry < Workload::ENTRIES; ++entry) {
        for (const auto &[organisation, limits] : workload.limits) {
            const auto part = 1.0 / 1000 / Workload::ENTRIES;
            buckets->emplace(std::pair(entry, organisation),
                             TokenBucket(static_cast<double>(limits.rate) * part,
                                         static_cast<double>(limits.burst) * part,
                                         scheduler.now()));
        }
    }
    auto scheme = Scheme{.name = "fixed_shares"};
    scheme.acquire = [buckets, &scheduler](auto entry, const auto &organisation, bool) {
        return buckets->at({entry, organisation}).tryTake(scheduler.now());
    };
    scheme.setPartitioned = [](bool) {
    };
    scheme.messages = [] {
        return std::size_t(0);
    };
    return scheme;
}

} // namespace auburnrail
