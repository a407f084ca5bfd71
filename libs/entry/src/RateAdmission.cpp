#include <entry/RateAdmission.h>

#include <request/ObjectiveTime.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

/// Recheck of a queue whose share yields no token; a new share may have been granted by then.
constexpr auto SHARE_RECHECK_INTERVAL = std::chrono::milliseconds(50);

} // namespace

RateAdmission::RateAdmission(RateAdmissionHooks admissionHooks)
    : hooks(std::move(admissionHooks))
{
}

auto RateAdmission::outlookOf(const std::string &organisation, TimePoint now) const -> TokenOutlook
{
    return TokenOutlook{.ownWait = this->hooks.timeToToken(organisation, now),
                        .forecast = this->hooks.forecast(organisation, now)};
}

auto RateAdmission::refusal(ReasonCode reason, const std::string &organisation, TimePoint now)
    -> RequestRefusal
{
    const auto message = reason == ReasonCode::QueueFull
                             ? "too many requests of the organisation wait for its rate"
                             : "the organisation is over its rate";
    const auto outlook = this->outlookOf(organisation, now);
    auto retryAfter = outlook.ownWait;
    if (outlook.forecast && outlook.forecast->first > Duration::zero())
        retryAfter =
            std::min(retryAfter.value_or(outlook.forecast->first), outlook.forecast->first);
    return RequestRefusal{.reason = reason, .message = message, .retryAfter = retryAfter};
}

auto RateAdmission::refusalReason(const AdmissionRequest &request, const Queue &queue,
                                  TimePoint now) -> std::optional<ReasonCode>
{
    if (queue.size() >= MAX_WAITERS)
        return ReasonCode::QueueFull;
    if (now >= request.deadline - TIME_TO_RUN)
        return ReasonCode::RateLimited;
    const auto isLate = missesObjective(request.objectiveEnd, now);
    const auto ahead = std::count_if(queue.begin(), queue.end(), [&](const auto &waiter) {
        return isLate || !missesObjective(waiter.objectiveEnd, now);
    });
    const auto outlook = this->outlookOf(request.organisation, now);
    return missesDeadline(outlook, request.deadline - TIME_TO_RUN, ahead, now)
               ? std::optional(ReasonCode::RateLimited)
               : std::nullopt;
}

auto RateAdmission::missesDeadline(const TokenOutlook &outlook, TimePoint deadline,
                                   std::ptrdiff_t ahead, TimePoint now) -> bool
{
    const auto &[ownWait, forecast] = outlook;
    if (forecast) {
        const auto grantedAt = now + forecast->first + forecast->interval * ahead;
        return grantedAt > deadline && (!ownWait || now + *ownWait * (ahead + 1) > deadline);
    }
    // With no request ahead, a new share may still yield a token in time.
    return ahead > 0 && ownWait && now + *ownWait * (ahead + 1) > deadline;
}

auto RateAdmission::nextWaiter(Queue &queue, TimePoint now) -> Queue::iterator
{
    const auto inTime = std::find_if(queue.begin(), queue.end(), [now](const auto &waiter) {
        return !missesObjective(waiter.objectiveEnd, now);
    });
    return inTime == queue.end() ? queue.begin() : inTime;
}

auto RateAdmission::admit(const AdmissionRequest &request, TimePoint now, AdmissionDone done)
    -> void
{
    auto refused = std::optional<RequestRefusal>();
    {
        const RankedLock lock(this->mutex);
        auto &queue = this->queues[request.organisation];
        const auto hasToken = this->hooks.tryAcquire(request.organisation, now);
        if (!hasToken) {
            const auto reason = this->refusalReason(request, queue, now);
            if (!reason) {
                queue.push_back(
                    Waiter{request.objectiveEnd, request.deadline - TIME_TO_RUN, std::move(done)});
                this->hooks.setBacklog(request.organisation, queue.size(), now);
                return;
            }
            refused = this->refusal(*reason, request.organisation, now);
        } else if (!queue.empty()) {
            queue.push_back(
                Waiter{request.objectiveEnd, request.deadline - TIME_TO_RUN, std::move(done)});
            const auto next = nextWaiter(queue, now);
            done = std::move(next->done);
            queue.erase(next);
        }
    }
    done(std::move(refused));
}

auto RateAdmission::offer(const std::string &organisation, std::size_t tokens, TimePoint now)
    -> void
{
    auto admitted = std::vector<AdmissionDone>();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->queues.find(organisation);
        if (found == this->queues.end())
            return;
        auto &queue = found->second;
        while (tokens > 0 && !queue.empty()) {
            const auto next = nextWaiter(queue, now);
            admitted.push_back(std::move(next->done));
            queue.erase(next);
            --tokens;
        }
        this->hooks.setBacklog(organisation, queue.size(), now);
    }
    for (const auto &done : admitted)
        done(std::nullopt);
}

auto RateAdmission::refuseUnservable(const std::string &organisation, Queue &queue, TimePoint now,
                                     std::vector<Ended> &ended) -> void
{
    // What the leader expects may have become known after a request began to wait.
    const auto outlook = this->outlookOf(organisation, now);
    auto ahead = std::ptrdiff_t(0);
    for (auto waiter = queue.begin(); waiter != queue.end();) {
        const auto isUnservable =
            waiter->deadline <= now
            || (outlook.forecast && missesDeadline(outlook, waiter->deadline, ahead, now));
        if (!isUnservable) {
            ++waiter;
            ++ahead;
            continue;
        }
        ended.push_back(Ended{std::move(waiter->done),
                              this->refusal(ReasonCode::RateLimited, organisation, now)});
        waiter = queue.erase(waiter);
    }
}

auto RateAdmission::advanceQueue(const std::string &organisation, Queue &queue, TimePoint now,
                                 std::vector<Ended> &ended) -> std::optional<TimePoint>
{
    this->refuseUnservable(organisation, queue, now, ended);
    while (!queue.empty() && this->hooks.tryAcquireQueued(organisation, now)) {
        const auto next = nextWaiter(queue, now);
        ended.push_back(Ended{std::move(next->done), std::nullopt});
        queue.erase(next);
    }
    if (queue.empty())
        return std::nullopt;
    const auto wait = this->hooks.timeToToken(organisation, now);
    const auto first =
        std::min_element(queue.begin(), queue.end(), [](const auto &left, const auto &right) {
            return left.deadline < right.deadline;
        });
    return std::min(
        first->deadline,
        now + std::min<Duration>(wait.value_or(SHARE_RECHECK_INTERVAL), SHARE_RECHECK_INTERVAL));
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
