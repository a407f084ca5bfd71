#include <proxy/PrimaryPositions.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <compare>
#include <iterator>

namespace auburnrail {

auto PrimaryPositions::record(std::string_view group, std::uint64_t term, Position position,
                              TimePoint sentAt) -> void
{
    const RankedLock lock(this->mutex);
    auto found = this->histories.find(group);
    if (found == this->histories.end())
        found =
            this->histories.emplace(std::string(group), History{.term = term, .samples = {}}).first;
    auto &history = found->second;
    if (history.term != term)
        return;
    auto &samples = history.samples;
    // Responses arrive out of order. One that adds nothing to the newest sample is dropped.
    if (!samples.empty() && sentAt - samples.back().sentAt < SAMPLE_INTERVAL_MS)
        return;
    if (!samples.empty() && std::is_lt(position <=> samples.back().position))
        return;
    samples.push_back(PrimarySample{.sentAt = sentAt, .position = position});
    while (samples.size() > 1 && sentAt - samples.front().sentAt > HISTORY_MS)
        samples.pop_front();
}

auto PrimaryPositions::setTerm(std::string_view group, std::uint64_t term) -> void
{
    const RankedLock lock(this->mutex);
    const auto found = this->histories.find(group);
    if (found == this->histories.end())
        this->histories.emplace(std::string(group), History{.term = term, .samples = {}});
    else if (found->second.term != term)
        found->second = History{.term = term, .samples = {}};
}

auto PrimaryPositions::required(std::string_view group, Duration maxStaleness, TimePoint now)
    -> std::optional<PrimarySample>
{
    const RankedLock lock(this->mutex);
    const auto found = this->histories.find(group);
    if (found == this->histories.end())
        return std::nullopt;
    const auto &samples = found->second.samples;
    const auto oldest =
        std::find_if(samples.begin(), samples.end(), [&](const PrimarySample &sample) {
            return sample.sentAt >= now - maxStaleness;
        });
    return oldest == samples.end() ? std::nullopt : std::optional(*oldest);
}

auto PrimaryPositions::newest(std::string_view group)
    -> std::optional<std::pair<std::uint64_t, PrimarySample>>
{
    const RankedLock lock(this->mutex);
    const auto found = this->histories.find(group);
    if (found == this->histories.end() || found->second.samples.empty())
        return std::nullopt;
    return std::pair(found->second.term, found->second.samples.back());
}

auto PrimaryPositions::reachedAt(std::string_view group, Position position)
    -> std::optional<TimePoint>
{
    const RankedLock lock(this->mutex);
    const auto found = this->histories.find(group);
    if (found == this->histories.end() || found->second.samples.empty())
        return std::nullopt;
    const auto &samples = found->second.samples;
    const auto after =
        std::find_if(samples.begin(), samples.end(), [&](const PrimarySample &sample) {
            return std::is_gt(sample.position <=> position);
        });
    if (after == samples.begin())
        return std::nullopt;
    const auto &before = *std::prev(after);
    if (position == before.position)
        return before.sentAt;
    if (after == samples.end() || after->position.term != before.position.term)
        return std::nullopt;
    const auto part = static_cast<double>(position.index - before.position.index)
                      / static_cast<double>(after->position.index - before.position.index);
    return before.sentAt
           + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::nano>(after->sentAt - before.sentAt) * part);
}

} // namespace auburnrail
