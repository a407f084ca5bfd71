#include <lease/LeaseGate.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace auburnrail {

LeaseGate::LeaseGate(TimePoint startedAt)
    : missingSince(startedAt)
{
}

auto LeaseGate::await(TimePoint deadline, TimePoint now, Done done) -> void
{
    {
        const RankedLock lock(this->mutex);
        if (!std::exchange(this->missing, true))
            this->missingSince = now;
        const auto until = std::min<TimePoint>(deadline, this->missingSince + EXPECTED_WITHIN_MS);
        if (now < until && this->waiters.size() < MAX_WAITERS) {
            this->waiters.emplace(until, std::move(done));
            return;
        }
    }
    done(false);
}

auto LeaseGate::granted() -> void
{
    auto served = std::multimap<TimePoint, Done>();
    {
        const RankedLock lock(this->mutex);
        this->missing = false;
        served.swap(this->waiters);
    }
    for (const auto &waiter : served)
        waiter.second(true);
}

auto LeaseGate::advance(TimePoint now) -> void
{
    auto expired = std::vector<Done>();
    {
        const RankedLock lock(this->mutex);
        const auto end = this->waiters.upper_bound(now);
        for (auto waiter = this->waiters.begin(); waiter != end; ++waiter)
            expired.push_back(std::move(waiter->second));
        this->waiters.erase(this->waiters.begin(), end);
    }
    for (const auto &done : expired)
        done(false);
}

} // namespace auburnrail
