#include <Comparison.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <vector>

namespace auburnrail {

namespace {

constexpr auto TICK = std::chrono::milliseconds(5);

struct Tally
{
    std::vector<double> admittedS;       ///< Times, in seconds.
    std::size_t withinLimits = 0;        ///< Arrivals that the ideal token bucket admits.
    std::size_t wrongful = 0;            ///< Of these, refused.
    std::size_t wrongfulInPartition = 0; ///< Of these, refused during the network partition.
    double waitS = 0;
};

using Waiting = std::map<std::pair<std::size_t, std::string>, std::deque<const Arrival *>>;

auto inSeconds(TimePoint time) -> double
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

/// Greatest excess of the tokens admitted in any interval over burst + rate × length.
auto findExcess(const std::vector<double> &times, const ShareLimits &limits) -> double
{
    const auto rate = static_cast<double>(limits.rate) / 1000;
    auto least = std::numeric_limits<double>::max();
    auto greatest = 0.0;
    for (auto i = std::size_t(0); i < times.size(); ++i) {
        const auto level = static_cast<double>(i) - rate * times[i];
        least = std::min(least, level);
        greatest = std::max(greatest, level + 1 - least);
    }
    return std::max(0.0, greatest - static_cast<double>(limits.burst) / 1000);
}

auto admit(Tally &tally, const Arrival &arrival, TimePoint now) -> void
{
    tally.admittedS.push_back(inSeconds(now));
    tally.waitS += std::chrono::duration<double>(now - arrival.at).count();
}

auto refuse(Tally &tally, const Arrival &arrival) -> void
{
    if (!arrival.withinLimits)
        return;
    ++tally.wrongful;
    if (arrival.at >= TimePoint(Workload::PARTITION_START)
        && arrival.at < TimePoint(Workload::PARTITION_END))
        ++tally.wrongfulInPartition;
}

auto retryWaiting(Waiting &waiting, const Scheme &scheme, std::map<std::string, Tally> &tallies,
                  TimePoint now) -> void
{
    for (auto &[place, queue] : waiting) {
        const auto &[entry, organisation] = place;
        const auto before = queue.size();
        while (!queue.empty()) {
            const auto *arrival = queue.front();
            const auto late = now - arrival->at > Workload::WAIT_LIMIT - scheme.decisionDelay;
            if (late)
                refuse(tallies[organisation], *arrival);
            else if (scheme.acquire(entry, organisation, false))
                admit(tallies[organisation], *arrival, now);
            else
                break;
            queue.pop_front();
        }
        if (scheme.setBacklog && queue.size() != before)
            scheme.setBacklog(entry, organisation, queue.size());
    }
}

auto summarise(const Workload &workload, const Scheme &scheme,
               const std::map<std::string, Tally> &tallies) -> JsonWriter
{
    auto excess = 0.0;
    auto worst = 1.0;
    auto total = Tally();
    auto admitted = std::size_t(0);
    for (const auto &[organisation, tally] : tallies) {
        excess = std::max(excess, findExcess(tally.admittedS, workload.limits.at(organisation)));
        admitted += tally.admittedS.size();
        total.waitS += tally.waitS;
        if (organisation == workload.overloaded)
            continue;
        total.withinLimits += tally.withinLimits;
        total.wrongful += tally.wrongful;
        total.wrongfulInPartition += tally.wrongfulInPartition;
        worst = std::min(
            worst,
            1.0 - static_cast<double>(tally.wrongful) / static_cast<double>(tally.withinLimits));
    }
    const auto &overloaded = tallies.at(workload.overloaded);
    auto json = JsonWriter();
    json.text("scheme", scheme.name)
        .number("excess_tokens", excess)
        .integer("requests_within_rate", static_cast<std::int64_t>(total.withinLimits))
        .integer("wrongful_refusals", static_cast<std::int64_t>(total.wrongful))
        .integer("wrongful_refusals_in_cut", static_cast<std::int64_t>(total.wrongfulInPartition))
        .number("worst_organisation_served_share", worst)
        .number("overloaded_served_of_ideal", static_cast<double>(overloaded.admittedS.size())
                                                  / static_cast<double>(overloaded.withinLimits))
        .number("mean_wait_ms", 1e3 * total.waitS / static_cast<double>(admitted)
                                    + static_cast<double>(toMillis(scheme.decisionDelay)))
        .integer("messages", static_cast<std::int64_t>(scheme.messages()));
    return json;
}

} // namespace

auto runComparison(const Workload &workload, const Scheme &scheme, VirtualScheduler &scheduler)
    -> JsonWriter
{
    auto tallies = std::map<std::string, Tally>();
    auto waiting = Waiting();
    auto next = workload.arrivals.begin();
    for (auto tick = TimePoint(); tick < TimePoint(Workload::LENGTH + Workload::WAIT_LIMIT + TICK);
         tick += TICK) {
        scheme.setPartitioned(tick >= TimePoint(Workload::PARTITION_START)
                              && tick < TimePoint(Workload::PARTITION_END));
        for (; next != workload.arrivals.end() && next->at < tick; ++next) {
            scheduler.runFor(next->at - scheduler.now());
            auto &tally = tallies[next->organisation];
            tally.withinLimits += next->withinLimits ? 1 : 0;
            auto &queue = waiting[{next->entry, next->organisation}];
            // A token acquired by an arrival goes to the request that has waited longest.
            queue.push_back(&*next);
            if (scheme.acquire(next->entry, next->organisation, true)) {
                admit(tally, *queue.front(), next->at);
                queue.pop_front();
            }
            if (scheme.setBacklog)
                scheme.setBacklog(next->entry, next->organisation, queue.size());
        }
        scheduler.runFor(tick - scheduler.now());
        retryWaiting(waiting, scheme, tallies, tick);
    }
    return summarise(workload, scheme, tallies);
}

} // namespace auburnrail
