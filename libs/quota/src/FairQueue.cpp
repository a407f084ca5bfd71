#include <quota/FairQueue.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <iterator>

namespace auburnrail {

namespace {

constexpr auto MIN_FLOWS_KEPT = std::size_t(64);

auto seconds(Duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

FairQueue::FairQueue(std::size_t slots, std::size_t places, FairQueueHooks hooks)
    : places(places)
    , hooks(std::move(hooks))
    , slots(slots)
    , eraseIdleAbove(MIN_FLOWS_KEPT)
{
}

auto FairQueue::enqueue(Waiter waiter, TimePoint now) -> Admission
{
    auto events = detail::QueueEvents();
    auto admission = Admission(Queued());
    {
        const RankedLock lock(this->mutex);
        if (waiter.latestStart() < now)
            return Refused{ReasonCode::DeadlineTooClose};
        if (this->waiters.size() >= this->places)
            this->refuseExpired(now, events);
        const auto id = waiter.id;
        this->place(std::move(waiter));
        if (this->inUse < this->slots && this->waiters.size() == 1) {
            ++this->inUse;
            (void)this->admitFirst(this->waiters.at(id).first);
            admission = Admitted();
        } else if (this->waiters.size() > this->places) {
            const auto victim = this->findVictim(now);
            this->remove(victim);
            if (victim == id)
                admission = Refused{ReasonCode::QueueFull};
            else
                events.refused.emplace_back(victim, ReasonCode::QueueFull);
        }
    }
    this->callHooks(events);
    return admission;
}

auto FairQueue::release(TimePoint now) -> void
{
    auto events = detail::QueueEvents();
    {
        const RankedLock lock(this->mutex);
        this->inUse -= std::min<std::size_t>(this->inUse, 1);
        this->fillSlots(now, events);
    }
    this->callHooks(events);
}

auto FairQueue::admitNext(std::string_view organisation, TimePoint now) -> bool
{
    auto events = detail::QueueEvents();
    {
        const RankedLock lock(this->mutex);
        this->refuseExpired(now, events);
        const auto flow = this->flows.find(organisation);
        if (flow != this->flows.end() && !flow->second.waiting.empty())
            events.admitted.push_back(this->admitFirst(flow));
    }
    this->callHooks(events);
    return !events.admitted.empty();
}

auto FairQueue::cancel(WaiterId waiter) -> bool
{
    const RankedLock lock(this->mutex);
    if (!this->waiters.contains(waiter))
        return false;
    this->remove(waiter);
    return true;
}

auto FairQueue::expire(TimePoint now) -> void
{
    auto events = detail::QueueEvents();
    {
        const RankedLock lock(this->mutex);
        this->refuseExpired(now, events);
    }
    this->callHooks(events);
}

auto FairQueue::setSlots(std::size_t count, TimePoint now) -> void
{
    auto events = detail::QueueEvents();
    {
        const RankedLock lock(this->mutex);
        this->slots = count;
        this->fillSlots(now, events);
    }
    this->callHooks(events);
}

auto FairQueue::nextExpiry() -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    if (this->byLatestStart.empty())
        return std::nullopt;
    // A waiter may still be admitted exactly at its latest start, so it is refused only after that.
    return this->byLatestStart.begin()->first + Duration(1);
}

auto FairQueue::backlog(std::string_view organisation) -> std::size_t
{
    const RankedLock lock(this->mutex);
    const auto flow = this->flows.find(organisation);
    return flow == this->flows.end() ? 0 : flow->second.waiting.size();
}

auto FairQueue::place(Waiter waiter) -> void
{
    const auto flow = this->flows.try_emplace(waiter.organisation).first;
    auto &row = flow->second;
    row.weight = waiter.weight;
    if (row.waiting.empty()) {
        row.startTag = std::max(this->virtualTime, row.finishTag);
        this->byStartTag.emplace(row.startTag, flow->first);
    }
    this->byLatestStart.emplace(waiter.latestStart(), waiter.id);
    const auto id = waiter.id;
    row.waiting.push_back(std::move(waiter));
    this->waiters.emplace(id, std::pair(flow, std::prev(row.waiting.end())));
}

auto FairQueue::remove(WaiterId waiter) -> Waiter
{
    const auto found = this->waiters.find(waiter);
    const auto [flow, position] = found->second;
    auto removed = std::move(*position);
    this->byLatestStart.erase({removed.latestStart(), waiter});
    flow->second.waiting.erase(position);
    this->waiters.erase(found);
    if (flow->second.waiting.empty())
        this->byStartTag.erase({flow->second.startTag, flow->first});
    return removed;
}

auto FairQueue::admitFirst(Flows::iterator flow) -> WaiterId
{
    auto &row = flow->second;
    const auto waiter = this->remove(row.waiting.front().id);
    this->virtualTime = std::max(this->virtualTime, row.startTag);
    row.finishTag = row.startTag + seconds(waiter.service) / row.weight;
    if (!row.waiting.empty()) {
        this->byStartTag.erase({row.startTag, flow->first});
        row.startTag = row.finishTag;
        this->byStartTag.emplace(row.startTag, flow->first);
    }
    if (this->flows.size() > this->eraseIdleAbove)
        this->eraseIdleFlows();
    return waiter.id;
}

auto FairQueue::refuseExpired(TimePoint now, detail::QueueEvents &events) -> void
{
    while (!this->byLatestStart.empty() && this->byLatestStart.begin()->first < now) {
        const auto waiter = this->byLatestStart.begin()->second;
        this->remove(waiter);
        events.refused.emplace_back(waiter, ReasonCode::DeadlineTooClose);
    }
}

auto FairQueue::fillSlots(TimePoint now, detail::QueueEvents &events) -> void
{
    this->refuseExpired(now, events);
    while (this->inUse < this->slots && !this->byStartTag.empty()) {
        ++this->inUse;
        const auto flow = this->flows.find(this->byStartTag.begin()->second);
        events.admitted.push_back(this->admitFirst(flow));
    }
}

auto FairQueue::findVictim(TimePoint now) const -> WaiterId
{
    auto weights = 0.0;
    for (const auto &[startTag, organisation] : this->byStartTag)
        weights += this->flows.find(organisation)->second.weight;
    auto victim = WaiterId(0);
    auto least = std::optional<double>();
    for (const auto &[startTag, organisation] : this->byStartTag) {
        const auto &flow = this->flows.find(organisation)->second;
        const auto fairShare = flow.weight / weights;
        if (static_cast<double>(flow.waiting.size())
            <= fairShare * static_cast<double>(this->places))
            continue;
        // Slots are divided by weight; tokens belong to a single organisation.
        const auto speed = this->slots > 0 ? fairShare * static_cast<double>(this->slots) : 1.0;
        auto waitS = 0.0;
        for (const auto &waiter : flow.waiting) {
            const auto slackS = seconds(waiter.latestStart() - now) - waitS / speed;
            waitS += seconds(waiter.service);
            // Of equal slacks, the last waiter is refused: it has waited least.
            if (!least || slackS <= *least) {
                least = slackS;
                victim = waiter.id;
            }
        }
    }
    return victim;
}

auto FairQueue::eraseIdleFlows() -> void
{
    const auto reached = this->virtualTime;
    std::erase_if(this->flows, [reached](const auto &entry) {
        return entry.second.waiting.empty() && entry.second.finishTag <= reached;
    });
    this->eraseIdleAbove = std::max(MIN_FLOWS_KEPT, 2 * this->flows.size());
}

auto FairQueue::callHooks(const detail::QueueEvents &events) -> void
{
    for (const auto &[waiter, reason] : events.refused) {
        if (this->hooks.refused)
            this->hooks.refused(waiter, reason);
    }
    for (const auto waiter : events.admitted) {
        if (this->hooks.admitted)
            this->hooks.admitted(waiter);
    }
}

} // namespace auburnrail
