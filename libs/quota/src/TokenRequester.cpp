#include <quota/TokenRequester.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnrail {

TokenRequester::TokenRequester(HolderId holder, QuotaTiming timing,
                               TokenRequesterHooks requesterHooks)
    : holder(std::move(holder))
    , timing(timing)
    , hooks(std::move(requesterHooks))
{
    assert(this->hooks.timeToOwnToken && "hooks.timeToOwnToken must be set");
}

auto TokenRequester::setBacklog(std::string_view organisation, std::size_t waiting, TimePoint now)
    -> void
{
    auto isNew = false;
    {
        const RankedLock lock(this->mutex);
        const auto found = this->organisations.find(organisation);
        if (found == this->organisations.end()) {
            if (waiting == 0)
                return;
            this->organisations.emplace(std::string(organisation), Waiting{.requests = waiting});
            isNew = true;
        } else if (waiting == 0 && found->second.expectedAt <= now) {
            this->organisations.erase(found);
        } else {
            isNew = found->second.requests == 0 && waiting > 0;
            found->second.requests = waiting;
        }
    }
    if (isNew && this->hooks.requestWanted)
        this->hooks.requestWanted();
}

auto TokenRequester::nextRequestAt(TimePoint now) -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    if (this->sentAt)
        return std::nullopt;
    auto next = std::optional<TimePoint>();
    for (const auto &[organisation, waiting] : this->organisations) {
        if (waiting.requests == 0)
            continue;
        // The share is looked at again after a while, because it may have been reduced.
        const auto from = this->yieldsSoon(organisation, now)
                              ? std::max(waiting.askFrom, now + LOCAL_WAIT_LIMIT_MS)
                              : waiting.askFrom;
        const auto due = std::max(from, this->retryFrom);
        next = std::min(due, next.value_or(due));
    }
    return next;
}

auto TokenRequester::beginRequest(TimePoint now) -> std::optional<TokenRequest>
{
    const RankedLock lock(this->mutex);
    if (this->sentAt || now < this->retryFrom)
        return std::nullopt;
    auto request = TokenRequest{.holder = this->holder, .demands = {}};
    for (const auto &[organisation, waiting] : this->organisations) {
        if (waiting.requests > 0 && waiting.askFrom <= now && !this->yieldsSoon(organisation, now))
            request.demands.push_back(TokenDemand{
                .organisation = organisation,
                .tokens = static_cast<std::uint32_t>(waiting.requests),
            });
    }
    if (request.demands.empty())
        return std::nullopt;
    this->sentAt = now;
    if (this->hooks.requestBegins)
        this->hooks.requestBegins();
    return request;
}

auto TokenRequester::complete(const TokenResponse &response, TimePoint now)
    -> std::vector<TokenGrant>
{
    const RankedLock lock(this->mutex);
    const auto sent = std::exchange(this->sentAt, std::nullopt);
    if (!sent || !response.granting) {
        this->retryFrom = now + RETRY_PAUSE_MS;
        return {};
    }
    auto usable = std::vector<TokenGrant>();
    // The ledger counts tokens for this long only; a later use would not be counted.
    const auto expired = now >= *sent + this->timing.tokenLifetime;
    for (const auto &grant : response.grants) {
        const auto found = this->organisations.find(grant.organisation);
        if (found != this->organisations.end() && grant.wait) {
            found->second.askFrom =
                now + std::clamp<Duration>(*grant.wait, MIN_WAIT_MS, MAX_WAIT_MS);
            found->second.expectedAt = now + *grant.wait;
            found->second.interval = grant.interval;
        }
        if (grant.tokens > 0 && !expired)
            usable.push_back(grant);
    }
    std::erase_if(this->organisations, [now](const auto &row) {
        return row.second.requests == 0 && row.second.expectedAt <= now;
    });
    return usable;
}

auto TokenRequester::failed(TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    this->sentAt.reset();
    this->retryFrom = now + RETRY_PAUSE_MS;
}

auto TokenRequester::forecast(std::string_view organisation, TimePoint now)
    -> std::optional<TokenForecast>
{
    const RankedLock lock(this->mutex);
    if (now < this->retryFrom)
        return std::nullopt;
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end() || found->second.expectedAt <= now)
        return TokenForecast();
    return TokenForecast{.first = found->second.expectedAt - now,
                         .interval = found->second.interval};
}

auto TokenRequester::yieldsSoon(const std::string &organisation, TimePoint now) const -> bool
{
    const auto wait = this->hooks.timeToOwnToken(organisation, now);
    return wait && *wait <= LOCAL_WAIT_LIMIT_MS;
}

} // namespace auburnrail
