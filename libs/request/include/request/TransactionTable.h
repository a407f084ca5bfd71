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
    bool busy = false;          ///< In use by a request.
    bool endsOnRelease = false; ///< Abandoned when that request releases it.
};

} // namespace detail

/// The open transactions of one entry. A request acquires a transaction, has exclusive use of its
/// connection, and releases or removes it, so that a transaction never has two statements in
/// flight. Thread-safe.
class TransactionTable
{
public:
    static constexpr auto IDLE_LIMIT_MS = std::chrono::milliseconds(30000);
    static constexpr auto TOTAL_LIMIT_MS = std::chrono::milliseconds(300000);

    /// `instance` is the entry's unique name; it may contain '.'.
    TransactionTable(std::string instance, TransactionHooks hooks);

    /// Adds an open transaction, idle, and returns its id; `randomValue` makes the id unguessable.
    /// Sets `id`, `begunAt` and `usedAt` of `transaction`. Returns an empty id after closeAll();
    /// the caller must then close the connection.
    [[nodiscard]] auto add(PinnedTransaction transaction, std::uint64_t randomValue, TimePoint now)
        -> std::string;

    /// Acquires the transaction for one request. Refuses with TransactionElsewhere for an id of
    /// another entry, TransactionUnknown (also for another organisation or service),
    /// TransactionBusy, or TransactionAborted over a time limit.
    [[nodiscard]] auto acquire(std::string_view id, std::string_view organisation,
                               std::string_view service, TimePoint now)
        -> std::variant<PinnedTransaction, ReasonCode>;

    /// Releases a transaction after a statement; abandons it if it was closed in the meantime.
    auto release(std::string_view id, TimePoint now) -> void;

    /// Removes an acquired transaction that has ended.
    auto remove(std::string_view id) -> void;

    /// Abandons transactions over the idle or the total limit.
    auto expire(TimePoint now) -> void;

    /// Abandons the transactions begun on a caller connection that has closed.
    auto closeCaller(std::uint64_t callerConnection) -> void;

    /// Abandons the transactions begun with a key that was withdrawn.
    auto closeKey(std::string_view keyId) -> void;

    /// Abandons the transactions of an organisation that was removed.
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
