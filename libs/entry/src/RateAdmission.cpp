#include <entry/RateAdmission.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

/// Next look at a queue whose share yields no token now; a new share may have come by then.
constexpr auto SHARE_RECHECK_INTERVAL = std::chrono::milliseconds(50);

} // namespace

RateAdmission::RateAdmission(RateAdmissionHooks admissionHooks)
    : hooks(std::move(admissionHooks))
{
}

auto RateAdmission::refusal(ReasonCode reason, const std::string &organisation, TimePoint now)
    -> RequestRefusal
{
    const auto message = reason == ReasonCode::QueueFull
                             ? "too many requests of the organisation wait for its rate"
                             : "the organisation is over its rate";
    return RequestRefusal{.reason = reason,
                          .message = message,
                          .retryAfter = this->hooks.timeToToken(organisation, now)};
}

auto RateAdmission::refusalReason(const std::string &organisation, std::size_t waiting,
                                  TimePoint deadline, TimePoint now) -> std::optional<ReasonCode>
{
    if (waiting >= MAX_WAITERS)
        return ReasonCode::QueueFull;
    if (now >= deadline)
        return ReasonCode::RateLimited;
    // Without others ahead a new share may still bring a token in time.
    const auto wait = this->hooks.timeToToken(organisation, now);
    const auto isHopeless =
        waiting > 0 && wait && now + *wait * static_cast<Duration::rep>(waiting + 1) > deadline;
    return isHopeless ? std::optional(ReasonCode::RateLimited) : std::nullopt;
}

auto RateAdmission::admit(const std::string &organisation, TimePoint deadline, TimePoint now,
                          AdmissionDone done) -> void
{
    auto refused = std::optional<RequestRefusal>();
    {
        const RankedLock lock(this->mutex);
        auto &queue = this->queues[organisation];
        const auto hasToken = this->hooks.tryAcquire(organisation, now);
        if (hasToken && !queue.empty()) {
            // The token belongs to the request that has waited longest.
            std::swap(done, queue.front().done);
            std::swap(deadline, queue.front().deadline);
            std::rotate(queue.begin(), std::next(queue.begin()), queue.end());
        }
        if (!hasToken) {
            const auto reason = this->refusalReason(organisation, queue.size(), deadline, now);
            if (!reason) {
                queue.push_back(Waiter{deadline, std::move(done)});
                this->hooks.setBacklog(organisation, queue.size(), now);
                return;
            }
            refused = this->refusal(*reason, organisation, now);
        }
    }
    done(std::move(refused));
}

auto RateAdmission::advanceQueue(const std::string &organisation, Queue &queue, TimePoint now,
                                 std::vector<Ended> &ended) -> std::optional<TimePoint>
{
    while (!queue.empty()) {
        auto &first = queue.front();
        if (first.deadline <= now) {
            ended.push_back(Ended{std::move(first.done),
                                  this->refusal(ReasonCode::RateLimited, organisation, now)});
        } else if (this->hooks.tryAcquireQueued(organisation, now)) {
            ended.push_back(Ended{std::move(first.done), std::nullopt});
        } else {
            const auto wait = this->hooks.timeToToken(organisation, now);
            return std::min(first.deadline,
                            now
                                + std::min<Duration>(wait.value_or(SHARE_RECHECK_INTERVAL),
                                                     SHARE_RECHECK_INTERVAL));
        }
        queue.pop_front();
    }
    return std::nullopt;
}

auto RateAdmission::advance(TimePoint now) -> std::optional<TimePoint>
{
    auto ended = std::vector<Ended>();
    auto next = std::optional<TimePoint>();
    {
        const RankedLock lock(this->mutex);
        for (auto entry = this->queues.begin(); entry != this->queues.end();) {
            const auto &organisation = entry->first;
            const auto before = entry->second.size();
            const auto due = this->advanceQueue(organisation, entry->second, now, ended);
            if (entry->second.size() != before)
                this->hooks.setBacklog(organisation, entry->second.size(), now);
            if (due && (!next || *due < *next))
                next = due;
            entry = entry->second.empty() ? this->queues.erase(entry) : std::next(entry);
        }
    }
    for (auto &waiter : ended)
        waiter.done(std::move(waiter.refusal));
    return next;
}

} // namespace auburnrail
