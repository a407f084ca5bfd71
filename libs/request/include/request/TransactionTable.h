#ifndef AUBURNRAIL_REQUEST_TRANSACTIONTABLE_H
#define AUBURNRAIL_REQUEST_TRANSACTIONTABLE_H

#include <request/PinnedTransaction.h>
#include <request/TransactionHooks.h>

#include <core/RankedMutex.h>
#include <core/ReasonCode.h>
#include <core/Time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnrail {

namespace detail {

/// One row of a TransactionTable.
struct TransactionRow
{
    PinnedTransaction transaction;
    bool busy = false;   ///< A request uses it.
    bool doomed = false; ///< It ends when that request returns it.
};

} // namespace detail

/// The open transactions of one entry. A request takes a transaction out, uses its connection alone
/// and returns or removes it, so that a transaction never has two statements in flight. Safe from
/// any thread.
class TransactionTable
{
public:
    static constexpr auto IDLE_LIMIT_MS = std::chrono::milliseconds(30000);
    static constexpr auto TOTAL_LIMIT_MS = std::chrono::milliseconds(300000);

    /// `instance` is the entry's unique name. No '.' is needed in it, but it may contain some.
    TransactionTable(std::string instance, TransactionHooks hooks);

    /// Adds an open transaction, idle, and returns its id; `randomValue` makes the id unguessable.
    /// `transaction.id`, `begunAt` and `usedAt` are set here. Returns an empty id after closeAll():
    /// the caller then closes the connection itself.
    [[nodiscard]] auto add(PinnedTransaction transaction, std::uint64_t randomValue, TimePoint now)
        -> std::string;

    /// Takes the transaction out for one request. Refuses with TransactionElsewhere for an id of
    /// another entry, TransactionUnknown (also for another organisation or service),
    /// TransactionBusy, or TransactionAborted over a time limit.
    [[nodiscard]] auto takeOut(std::string_view id, std::string_view organisation,
                               std::string_view service, TimePoint now)
        -> std::variant<PinnedTransaction, ReasonCode>;

    /// Returns a transaction after a statement; abandons it if it was closed in the meantime.
    auto putBack(std::string_view id, TimePoint now) -> void;

    /// Removes a transaction that its holder has taken out and ended.
    auto remove(std::string_view id) -> void;

    /// Abandons transactions over the idle or the total limit.
    auto expire(TimePoint now) -> void;

    /// Abandons the transactions begun on a caller's connection, which has closed.
    auto closeCaller(std::uint64_t callerConnection) -> void;

    /// Abandons the transactions that a key began, after it was withdrawn.
    auto closeKey(std::string_view keyId) -> void;

    /// Abandons the transactions of an organisation, after its removal.
    auto closeOrganisation(std::string_view organisation) -> void;

    /// Abandons every transaction and refuses new ones; for shutdown.
    auto closeAll() -> void;

    [[nodiscard]] auto size() -> std::size_t;

private:
    using Condition = std::function<auto(const PinnedTransaction &)->bool>;

    auto closeWhere(const Condition &condition) -> void;
    [[nodiscard]] static auto overLimit(const PinnedTransaction &transaction, TimePoint now)
        -> bool;

    std::string instance;
    TransactionHooks hooks;
    RankedMutex mutex{LockRank::TransactionTable};
    std::map<std::string, detail::TransactionRow, std::less<>> rows ABSL_GUARDED_BY(mutex);
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail

#endif
