#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_LENDINGFLEET_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_LENDINGFLEET_H

#include <Workload.h>

#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>

#include <core/VirtualScheduler.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace auburnrail {

/// A ledger and its holders with delayed messages and held answers, on virtual time.
class LendingFleet
{
public:
    LendingFleet(const Workload &workload, VirtualScheduler &scheduler);

    auto holder(std::size_t entry) -> ShareHolder &;
    auto setCut(bool isCut) -> void;
    [[nodiscard]] auto messageCount() const -> std::size_t;

private:
    struct EntrySide
    {
        std::unique_ptr<ShareHolder> holder;
        std::uint64_t exchange = 0; ///< Number of the latest heartbeat.
        TimePoint sentAt;
        bool held = false; ///< Its answer waits at the leader.
        bool wanted = false;
    };

    auto send(std::size_t entry) -> void;
    auto arrive(std::size_t entry, std::uint64_t exchange, const ShareReport &report) -> void;
    auto answer(std::size_t entry, std::uint64_t exchange, const ShareGrant &grant) -> void;
    auto answerHeld(std::size_t entry, std::uint64_t exchange) -> void;
    auto expireLater() -> void;
    [[nodiscard]] auto isCutOff(std::size_t entry) const -> bool;

    VirtualScheduler &scheduler;
    Executor executor;
    std::vector<EntrySide> entries;
    std::unique_ptr<ShareLedger> ledger;
    std::size_t messages = 0;
    bool cut = false;
};

} // namespace auburnrail

#endif
