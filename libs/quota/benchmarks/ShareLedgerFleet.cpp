#include <ShareLedgerFleet.h>

namespace auburnrail {

namespace {

constexpr auto ONE_WAY_DELAY = std::chrono::milliseconds(4);
constexpr auto MAX_HOLD_TIME = std::chrono::milliseconds(500);
constexpr auto RETRY_INTERVAL =
    std::chrono::milliseconds(600); // longer than a response may be held back
constexpr auto EXPIRE_INTERVAL = std::chrono::milliseconds(100);

} // namespace

ShareLedgerFleet::ShareLedgerFleet(const Workload &workload, VirtualScheduler &scheduler)
    : scheduler(scheduler)
    , executor(scheduler.executor())
{
    const auto grantReady = [this](const HolderId &id) {
        const auto entry = static_cast<std::size_t>(std::stoul(id.instance));
        if (this->entries[entry].held)
            this->executor.post([this, entry, exchange = this->entries[entry].exchange] {
                this->respondToHeld(entry, exchange);
            });
    };
    this->ledger = std::make_unique<ShareLedger>(
        QuotaTiming(), ShareLedgerHooks{.grantReady = grantReady, .grantingStarted = {}});
    this->ledger->beginLeadership({.number = 1}, scheduler.now() - QuotaTiming().leaseWait());
    for (const auto &[organisation, limits] : workload.limits)
        this->ledger->setLimits(organisation, limits, scheduler.now());
    for (auto entry = std::size_t(0); entry < Workload::ENTRIES; ++entry) {
        const auto wanted = [this, entry] {
            auto &side = this->entries[entry];
            side.wanted = true;
            if (side.held)
                this->executor.post([this, entry] { this->send(entry); });
        };
        const auto zone = std::to_string(entry / Workload::ENTRIES_PER_ZONE);
        auto side = EntrySide();
        side.holder = std::make_unique<ShareHolder>(HolderId{std::to_string(entry), 1}, zone,
                                                    QuotaTiming(), ShareHolderHooks{wanted});
        this->entries.push_back(std::move(side));
        this->executor.post([this, entry] { this->send(entry); });
    }
    this->expireLater();
}

auto ShareLedgerFleet::holder(std::size_t entry) -> ShareHolder &
{
    return *this->entries[entry].holder;
}

auto ShareLedgerFleet::setPartitioned(bool isPartitioned) -> void
{
    this->partitioned = isPartitioned;
}

auto ShareLedgerFleet::messageCount() const -> std::size_t
{
    return this->messages;
}

auto ShareLedgerFleet::send(std::size_t entry) -> void
{
    auto &side = this->entries[entry];
    side.sentAt = this->scheduler.now();
    side.held = false;
    side.wanted = false;
    const auto exchange = ++side.exchange;
    ++this->messages;
    const auto report = side.holder->beginReport(this->scheduler.now());
    if (!this->isUnreachable(entry)) {
        this->executor.postAfter(ONE_WAY_DELAY, [this, entry, exchange, report] {
            this->arrive(entry, exchange, report);
        });
    }
    this->executor.postAfter(RETRY_INTERVAL, [this, entry, exchange] {
        if (this->entries[entry].exchange == exchange)
            this->send(entry);
    });
}

auto ShareLedgerFleet::arrive(std::size_t entry, std::uint64_t exchange, const ShareReport &report)
    -> void
{
    const auto grant = this->ledger->report(report, this->scheduler.now());
    if (grant.urgent || this->entries[entry].wanted) {
        this->respond(entry, exchange, grant);
        return;
    }
    if (this->entries[entry].exchange != exchange)
        return;
    this->entries[entry].held = true;
    this->executor.postAfter(MAX_HOLD_TIME, [this, entry, exchange] {
        if (this->entries[entry].exchange == exchange && this->entries[entry].held)
            this->respond(entry, exchange,
                          this->ledger->grant({std::to_string(entry), 1}, this->scheduler.now()));
    });
}

auto ShareLedgerFleet::respondToHeld(std::size_t entry, std::uint64_t exchange) -> void
{
    if (this->entries[entry].exchange != exchange || !this->entries[entry].held)
        return;
    const auto grant = this->ledger->grant({std::to_string(entry), 1}, this->scheduler.now());
    if (grant.urgent)
        this->respond(entry, exchange, grant);
}

auto ShareLedgerFleet::respond(std::size_t entry, std::uint64_t exchange, const ShareGrant &grant)
    -> void
{
    this->entries[entry].held = false;
    ++this->messages;
    if (this->isUnreachable(entry))
        return;
    this->executor.postAfter(ONE_WAY_DELAY, [this, entry, exchange, grant] {
        auto &side = this->entries[entry];
        if (side.exchange != exchange)
            return;
        side.holder->adopt(grant, side.sentAt + QuotaTiming().leaseDuration, this->scheduler.now());
        this->send(entry);
    });
}

auto ShareLedgerFleet::expireLater() -> void
{
    this->executor.postAfter(EXPIRE_INTERVAL, [this] {
        this->ledger->expire(this->scheduler.now());
        this->expireLater();
    });
}

auto ShareLedgerFleet::isUnreachable(std::size_t entry) const -> bool
{
    return this->partitioned && entry >= Workload::ENTRIES - Workload::ENTRIES_PER_ZONE;
}

} // namespace auburnrail
