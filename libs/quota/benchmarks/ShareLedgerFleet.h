#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_SHARELEDGERFLEET_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_SHARELEDGERFLEET_H

#include <Workload.h>

#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>

#include <core/VirtualScheduler.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace auburnrail {

/// A ledger and its holders on virtual time, with message delays and long polling.
class ShareLedgerFleet
{
public:
    ShareLedgerFleet(const Workload &workload, VirtualScheduler &scheduler);

    auto holder(std::size_t entry) -> ShareHolder &;
    auto setPartitioned(bool isPartitioned) -> void;
    [[nodiscard]] auto messageCount() const -> std::size_t;

private:
    struct EntrySide
    {
        std::unique_ptr<ShareHolder> holder;
        std::uint64_t exchange = 0; ///< Number of the latest heartbeat.
        TimePoint sentAt;
        bool held = false; ///< The leader holds its response back.
        bool wanted = false;
    };

    auto send(std::size_t entry) -> void;
    auto arrive(std::size_t entry, std::uint64_t exchange, const ShareReport &report) -> void;
    auto respond(std::size_t entry, std::uint64_t exchange, const ShareGrant &grant) -> void;
    auto respondToHeld(std::size_t entry, std::uint64_t exchange) -> void;
    auto expireLater() -> void;
    [[nodiscard]] auto isUnreachable(std::size_t entry) const -> bool;

    VirtualScheduler &scheduler;
    Executor executor;
    std::vector<EntrySide> entries;
    std::unique_ptr<ShareLedger> ledger;
    std::size_t messages = 0;
    bool partitioned = false;
};

} // namespace auburnrail

#endif
