#include <Schemes.h>
#include <ShareLedgerFleet.h>

#include <memory>

namespace auburnrail {

auto makeShareLedgerScheme(const Workload &workload, VirtualScheduler &scheduler) -> Scheme
{
    const auto fleet = std::make_shared<ShareLedgerFleet>(workload, scheduler);
    auto scheme = Scheme{.name = "lending"};
    scheme.acquire = [fleet, &scheduler](auto entry, const auto &organisation, bool first) {
        auto &holder = fleet->holder(entry);
        return first ? holder.tryAcquire(organisation, scheduler.now())
                     : holder.tryAcquireQueued(organisation, scheduler.now());
    };
    scheme.setBacklog = [fleet, &scheduler](auto entry, const auto &organisation, auto waiting) {
        fleet->holder(entry).setBacklog(organisation, waiting, scheduler.now());
    };
    scheme.setPartitioned = [fleet](bool partitioned) {
        fleet->setPartitioned(partitioned);
    };
    scheme.messages = [fleet] {
        return fleet->messageCount();
    };
    return scheme;
}

} // namespace auburnrail
