#ifndef AUBURNRAIL_REQUEST_RETRYBUDGET_H
#define AUBURNRAIL_REQUEST_RETRYBUDGET_H

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace auburnrail {

namespace detail {

/// Retry tokens of one organisation.
struct RetryTokens
{
    double tokens = 0;
    TimePoint updated;
};

} // namespace detail

/// Limits the retries of each organisation to a fraction of its requests, plus a small constant
/// rate so that an organisation with few requests can retry at all. Thread-safe.
class RetryBudget
{
public:
    static constexpr auto TOKENS_PER_REQUEST = 0.2;
    static constexpr auto MIN_TOKENS_PER_SECOND = 1.0;
    static constexpr auto MAX_BALANCE_TOKENS = 50.0;
    static constexpr auto INITIAL_BALANCE_TOKENS = 5.0;
    /// Limit of tracked organisations; the least recently used one is evicted first.
    static constexpr auto MAX_ORGANISATIONS = std::size_t{4096};

    /// Credits one new request.
    auto recordRequest(std::string_view organisation, TimePoint now) -> void;

    /// Takes a token for one retry; false when none is left.
    [[nodiscard]] auto tryRetry(std::string_view organisation, TimePoint now) -> bool;

    /// Number of tracked organisations.
    [[nodiscard]] auto size() -> std::size_t;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto refilled(std::string_view organisation, TimePoint now) -> detail::RetryTokens &;

    RankedMutex mutex{LockRank::RetryBudget};
    std::map<std::string, detail::RetryTokens, std::less<>> balances ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
