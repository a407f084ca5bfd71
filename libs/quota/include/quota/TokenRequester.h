#ifndef AUBURNRAIL_QUOTA_TOKENREQUESTER_H
#define AUBURNRAIL_QUOTA_TOKENREQUESTER_H

#include <quota/HolderId.h>
#include <quota/QuotaTiming.h>
#include <quota/TokenForecast.h>
#include <quota/TokenRequest.h>
#include <quota/TokenRequesterHooks.h>
#include <quota/TokenResponse.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Entry side of the tokens that the ledger grants one by one: asks for those that waiting requests
/// need and that the holder's own shares don't yield soon. One request is under way at a time, and
/// an organisation over its rate is asked for again only after a pause.
///
/// Call `setBacklog` when the number of waiting requests changes. When `nextRequestAt` has come,
/// call `beginRequest`, send the request, and call `complete` or `failed`. Thread-safe.
class TokenRequester
{
public:
    /// A request that gets a token from the holder's own share within this time does not need a
    /// message to the ledger.
    static constexpr auto LOCAL_WAIT_LIMIT_MS = std::chrono::milliseconds(50);
    /// Pause before the next request after one without a useful response.
    static constexpr auto RETRY_PAUSE_MS = std::chrono::milliseconds(50);
    /// Bounds of the time until an organisation is asked for again: an organisation over its rate
    /// must not cause a message for each round trip, and a token may be there earlier than
    /// expected, because others stop waiting.
    static constexpr auto MIN_WAIT_MS = std::chrono::milliseconds(20);
    static constexpr auto MAX_WAIT_MS = std::chrono::milliseconds(200);

    TokenRequester(HolderId holder, QuotaTiming timing, TokenRequesterHooks requesterHooks);

    /// Sets how many requests of `organisation` are waiting for a token.
    auto setBacklog(std::string_view organisation, std::size_t waiting, TimePoint now) -> void;

    /// When the next request is due; nothing without a backlog or while a request is under way.
    [[nodiscard]] auto nextRequestAt(TimePoint now) -> std::optional<TimePoint>;

    /// Creates a request for what is due; nothing if that is none.
    [[nodiscard]] auto beginRequest(TimePoint now) -> std::optional<TokenRequest>;

    /// Ends the request under way. Returns the granted tokens, which are to be used at once; none
    /// if the response comes after the tokens have expired.
    [[nodiscard]] auto complete(const TokenResponse &response, TimePoint now)
        -> std::vector<TokenGrant>;

    /// Ends the request under way without a response.
    auto failed(TimePoint now) -> void;

    /// When the ledger expects tokens of `organisation`; at once unless it has said otherwise.
    /// Nothing while the ledger does not respond.
    [[nodiscard]] auto forecast(std::string_view organisation, TimePoint now)
        -> std::optional<TokenForecast>;

private:
    struct Waiting
    {
        std::size_t requests = 0;
        TimePoint askFrom;
        TimePoint expectedAt; ///< When the ledger expects a token; past if that is not known.
        Duration interval{};
    };

    [[nodiscard]] auto yieldsSoon(const std::string &organisation, TimePoint now) const -> bool;

    const HolderId holder;
    const QuotaTiming timing;
    const TokenRequesterHooks hooks;
    RankedMutex mutex{LockRank::TokenRequester};
    std::map<std::string, Waiting, std::less<>> organisations ABSL_GUARDED_BY(mutex);
    std::optional<TimePoint> sentAt ABSL_GUARDED_BY(mutex); ///< Of the request under way.
    TimePoint retryFrom ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
