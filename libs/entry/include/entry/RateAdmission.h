#ifndef AUBURNRAIL_ENTRY_RATEADMISSION_H
#define AUBURNRAIL_ENTRY_RATEADMISSION_H

#include <entry/RateAdmissionHooks.h>
#include <request/AdmissionRequest.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Admits requests at their organisation's rate limit. Handles an organisation that exceeds its
/// rate and the backlog after a failure. A request without a token waits in its organisation's
/// bounded queue. Requests that can meet their latency objective are served first, then the others,
/// each in order of arrival. A request whose deadline can't be met, or that finds the queue full,
/// is refused immediately. Performs no I/O. Thread-safe.
class RateAdmission
{
public:
    /// Queue limit of one organisation, so that one over its rate can't exhaust the memory.
    static constexpr auto MAX_WAITERS = std::size_t(256);

    /// A token is of use only until this long before the request's deadline: the request still has
    /// to reach a server and run there.
    static constexpr auto TIME_TO_RUN = std::chrono::milliseconds(50);

    explicit RateAdmission(RateAdmissionHooks admissionHooks);

    /// Calls `done`, immediately or later, with nothing if the request is admitted or with a
    /// refusal.
    auto admit(const AdmissionRequest &request, TimePoint now, AdmissionDone done) -> void;

    /// Admits up to `tokens` waiters with tokens that the leader granted. Tokens that no request
    /// waits for are dropped.
    auto offer(const std::string &organisation, std::size_t tokens, TimePoint now) -> void;

    /// Admits the waiters for which there are tokens and refuses those whose deadline has passed or
    /// certainly passes before there is a token.
    /// Returns when to call again, or nothing if no request waits.
    auto advance(TimePoint now) -> std::optional<TimePoint>;

private:
    struct Waiter
    {
        TimePoint objectiveEnd;
        TimePoint deadline; ///< For a token.
        AdmissionDone done;
    };

    struct Ended
    {
        AdmissionDone done;
        std::optional<RequestRefusal> refusal;
    };

    using Queue = std::deque<Waiter>;

    /// What is known of an organisation's next tokens.
    struct TokenOutlook
    {
        std::optional<Duration> ownWait; ///< Until the own share yields one; nothing if never.
        std::optional<TokenForecast> forecast; ///< Of the leader; nothing without one.
    };

    [[nodiscard]] auto refusal(ReasonCode reason, const std::string &organisation, TimePoint now)
        -> RequestRefusal;

    [[nodiscard]] auto outlookOf(const std::string &organisation, TimePoint now) const
        -> TokenOutlook;

    /// Why a request without a token is refused immediately; nothing if it may wait.
    [[nodiscard]] auto refusalReason(const AdmissionRequest &request, const Queue &queue,
                                     TimePoint now) -> std::optional<ReasonCode>;

    /// Whether a request behind `ahead` others certainly gets no token before its deadline.
    [[nodiscard]] static auto missesDeadline(const TokenOutlook &outlook, TimePoint deadline,
                                             std::ptrdiff_t ahead, TimePoint now) -> bool;

    /// The waiter that gets the next token. The queue must not be empty.
    [[nodiscard]] static auto nextWaiter(Queue &queue, TimePoint now) -> Queue::iterator;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto refuseUnservable(const std::string &organisation, Queue &queue, TimePoint now,
                          std::vector<Ended> &ended) -> void;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto advanceQueue(const std::string &organisation, Queue &queue, TimePoint now,
                      std::vector<Ended> &ended) -> std::optional<TimePoint>;

    RateAdmissionHooks hooks;
    RankedMutex mutex{LockRank::RateAdmission};
    std::map<std::string, Queue> queues ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
