#include <proxy/PrimaryPositions.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <compare>

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
    samples.push_back(Sample{.sentAt = sentAt, .position = position});
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
    -> std::optional<Position>
{
    const RankedLock lock(this->mutex);
    const auto found = this->histories.find(group);
    if (found == this->histories.end())
        return std::nullopt;
    const auto &samples = found->second.samples;
    const auto oldest = std::find_if(samples.begin(), samples.end(), [&](const Sample &sample) {
        return sample.sentAt >= now - maxStaleness;
    });
    return oldest == samples.end() ? std::nullopt : std::optional(oldest->position);
}

} // namespace auburnrail
