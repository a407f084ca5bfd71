#include <LendingFleet.h>

namespace auburnrail {

namespace {

constexpr auto ONE_WAY = std::chrono::milliseconds(4);
constexpr auto HOLD = std::chrono::milliseconds(500);
constexpr auto RETRY = std::chrono::milliseconds(600); // longer than an answer may be held
constexpr auto EXPIRE_INTERVAL = std::chrono::milliseconds(100);

} // namespace

LendingFleet::LendingFleet(const Workload &workload, VirtualScheduler &scheduler)
    : scheduler(scheduler)
    , executor(scheduler.executor())
{
    const auto grantReady = [this](const HolderId &id) {
        const auto entry = static_cast<std::size_t>(std::stoul(id.instance));
        if (this->entries[entry].held)
            this->executor.post([this, entry, exchange = this->entries[entry].exchange] {
                this->answerHeld(entry, exchange);
            });
    };
    this->ledger = std::make_unique<ShareLedger>(QuotaTiming(), ShareLedgerHooks{grantReady});
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

auto LendingFleet::holder(std::size_t entry) -> ShareHolder &
{
    return *this->entries[entry].holder;
}

auto LendingFleet::setCut(bool isCut) -> void
{
    this->cut = isCut;
}

auto LendingFleet::messageCount() const -> std::size_t
{
    return this->messages;
}

auto LendingFleet::send(std::size_t entry) -> void
{
    auto &side = this->entries[entry];
    side.sentAt = this->scheduler.now();
    side.held = false;
    side.wanted = false;
    const auto exchange = ++side.exchange;
    ++this->messages;
    const auto report = side.holder->beginReport(this->scheduler.now());
    if (!this->isCutOff(entry)) {
        this->executor.postAfter(
            ONE_WAY, [this, entry, exchange, report] { this->arrive(entry, exchange, report); });
    }
    this->executor.postAfter(RETRY, [this, entry, exchange] {
        if (this->entries[entry].exchange == exchange)
            this->send(entry);
    });
}

auto LendingFleet::arrive(std::size_t entry, std::uint64_t exchange, const ShareReport &report)
    -> void
{
    const auto grant = this->ledger->report(report, this->scheduler.now());
    if (grant.urgent || this->entries[entry].wanted) {
        this->answer(entry, exchange, grant);
        return;
    }
    if (this->entries[entry].exchange != exchange)
        return;
    this->entries[entry].held = true;
    this->executor.postAfter(HOLD, [this, entry, exchange] {
        if (this->entries[entry].exchange == exchange && this->entries[entry].held)
            this->answer(entry, exchange,
                         this->ledger->grant({std::to_string(entry), 1}, this->scheduler.now()));
    });
}

auto LendingFleet::answerHeld(std::size_t entry, std::uint64_t exchange) -> void
{
    if (this->entries[entry].exchange != exchange || !this->entries[entry].held)
        return;
    const auto grant = this->ledger->grant({std::to_string(entry), 1}, this->scheduler.now());
    if (grant.urgent)
        this->answer(entry, exchange, grant);
}

auto LendingFleet::answer(std::size_t entry, std::uint64_t exchange, const ShareGrant &grant)
    -> void
{
    this->entries[entry].held = false;
    ++this->messages;
    if (this->isCutOff(entry))
        return;
    this->executor.postAfter(ONE_WAY, [this, entry, exchange, grant] {
        auto &side = this->entries[entry];
        if (side.exchange != exchange)
            return;
        side.holder->adopt(grant, side.sentAt + QuotaTiming().leaseDuration, this->scheduler.now());
        this->send(entry);
    });
}

auto LendingFleet::expireLater() -> void
{
    this->executor.postAfter(EXPIRE_INTERVAL, [this] {
        this->ledger->expire(this->scheduler.now());
        this->expireLater();
    });
}

auto LendingFleet::isCutOff(std::size_t entry) const -> bool
{
    return this->cut && entry >= Workload::ENTRIES - Workload::ENTRIES_PER_ZONE;
}

} // namespace auburnrail
