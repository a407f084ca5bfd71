#include <request/RetryBudget.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto RetryBudget::recordRequest(std::string_view organisation, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    auto &balance = this->refilled(organisation, now);
    balance.tokens = std::min(balance.tokens + TOKENS_PER_REQUEST, MAX_BALANCE_TOKENS);
}

auto RetryBudget::tryRetry(std::string_view organisation, TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    auto &balance = this->refilled(organisation, now);
    if (balance.tokens < 1.0)
        return false;
    balance.tokens -= 1.0;
    return true;
}

auto RetryBudget::size() -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->balances.size();
}

auto RetryBudget::refilled(std::string_view organisation, TimePoint now) -> detail::RetryTokens &
{
    const auto found = this->balances.find(organisation);
    if (found != this->balances.end()) {
        auto &balance = found->second;
        const auto passed = std::max(now - balance.updated, TimePoint::duration(0));
        const auto refill = std::chrono::duration<double>(passed).count() * MIN_TOKENS_PER_SECOND;
        // The time-based refill never exceeds the initial balance.
        if (balance.tokens < INITIAL_BALANCE_TOKENS)
            balance.tokens = std::min(balance.tokens + refill, INITIAL_BALANCE_TOKENS);
        balance.updated = std::max(balance.updated, now);
        return balance;
    }
    if (this->balances.size() >= MAX_ORGANISATIONS) {
        const auto oldest = std::min_element(this->balances.begin(), this->balances.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.updated < right.second.updated;
                                             });
        this->balances.erase(oldest);
    }
    auto &balance = this->balances[std::string(organisation)];
    balance = {.tokens = INITIAL_BALANCE_TOKENS, .updated = now};
    return balance;
}

} // namespace auburnrail
