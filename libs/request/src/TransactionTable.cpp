#include <request/TransactionTable.h>

#include <core/RankedLock.h>

#include <absl/strings/str_cat.h>

#include <cassert>

namespace auburnrail {

TransactionTable::TransactionTable(std::string instance, TransactionHooks hooks)
    : instance(std::move(instance))
    , hooks(std::move(hooks))
{
    assert(!this->instance.empty() && "the instance name is empty");
}

auto TransactionTable::add(PinnedTransaction transaction, std::uint64_t randomValue, TimePoint now)
    -> std::string
{
    const RankedLock lock(this->mutex);
    if (this->closed)
        return {};
    // The number makes the id unique, the random value makes it hard to guess.
    auto id = absl::StrCat(this->instance, ".", ++this->lastNumber, "-", absl::Hex(randomValue));
    transaction.id = id;
    transaction.begunAt = now;
    transaction.usedAt = now;
    this->rows[id].transaction = std::move(transaction);
    return id;
}

auto TransactionTable::acquire(std::string_view id, std::string_view organisation,
                               std::string_view service, TimePoint now)
    -> std::variant<PinnedTransaction, ReasonCode>
{
    const auto dot = id.rfind('.');
    if (dot == std::string_view::npos)
        return ReasonCode::TransactionUnknown;
    if (id.substr(0, dot) != this->instance)
        return ReasonCode::TransactionElsewhere;
    auto expired = PinnedTransaction();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->rows.find(id);
        if (found == this->rows.end() || found->second.transaction.organisation != organisation
            || found->second.transaction.service != service) {
            return ReasonCode::TransactionUnknown;
        }
        auto &row = found->second;
        if (row.busy)
            return ReasonCode::TransactionBusy;
        if (!overLimit(row.transaction, now)) {
            row.busy = true;
            return row.transaction;
        }
        expired = std::move(row.transaction);
        this->rows.erase(found);
    }
    this->hooks.abandon(expired);
    return ReasonCode::TransactionAborted;
}

auto TransactionTable::release(std::string_view id, TimePoint now) -> void
{
    auto abandoned = PinnedTransaction();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->rows.find(id);
        assert(found != this->rows.end() && found->second.busy && "the transaction is not in use");
        auto &row = found->second;
        if (!row.endsOnRelease) {
            row.busy = false;
            row.transaction.usedAt = now;
            return;
        }
        abandoned = std::move(row.transaction);
        this->rows.erase(found);
    }
    this->hooks.abandon(abandoned);
}

auto TransactionTable::remove(std::string_view id) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->rows.find(id);
    if (found != this->rows.end())
        this->rows.erase(found);
}

auto TransactionTable::expire(TimePoint now) -> void
{
    this->closeWhere(
        [now](const PinnedTransaction &transaction) { return overLimit(transaction, now); });
}

auto TransactionTable::closeCaller(std::uint64_t callerConnection) -> void
{
    if (callerConnection == 0)
        return;
    this->closeWhere([callerConnection](const PinnedTransaction &transaction) {
        return transaction.callerConnection == callerConnection;
    });
}

auto TransactionTable::closeKey(std::string_view keyId) -> void
{
    this->closeWhere(
        [keyId](const PinnedTransaction &transaction) { return transaction.keyId == keyId; });
}

auto TransactionTable::closeOrganisation(std::string_view organisation) -> void
{
    this->closeWhere([organisation](const PinnedTransaction &transaction) {
        return transaction.organisation == organisation;
    });
}

auto TransactionTable::closeAll() -> void
{
    {
        const RankedLock lock(this->mutex);
        this->closed = true;
    }
    this->closeWhere([](const PinnedTransaction & /*transaction*/) { return true; });
}

auto TransactionTable::size() -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->rows.size();
}

auto TransactionTable::closeWhere(const Condition &condition) -> void
{
    auto abandoned = std::vector<PinnedTransaction>();
    {
        const RankedLock lock(this->mutex);
        for (auto row = this->rows.begin(); row != this->rows.end();) {
            const auto close = condition(row->second.transaction);
            if (close && !row->second.busy) {
                abandoned.push_back(std::move(row->second.transaction));
                row = this->rows.erase(row);
                continue;
            }
            // The connection of a statement in flight closes when the statement ends.
            row->second.endsOnRelease = row->second.endsOnRelease || close;
            ++row;
        }
    }
    for (const auto &transaction : abandoned)
        this->hooks.abandon(transaction);
}

auto TransactionTable::overLimit(const PinnedTransaction &transaction, TimePoint now) -> bool
{
    return now - transaction.usedAt >= IDLE_LIMIT_MS || now - transaction.begunAt >= TOTAL_LIMIT_MS;
}

} // namespace auburnrail
