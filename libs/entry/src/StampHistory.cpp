#include <entry/StampHistory.h>

#include <algorithm>

namespace auburnrail {

auto StampHistory::add(const LeaderStamp &stamp, TimePoint receivedAt) -> void
{
    if (!this->stamps.empty() && this->stamps.back().second.leadership != stamp.leadership)
        this->stamps.clear();
    this->stamps.emplace_back(receivedAt, stamp);
    if (this->stamps.size() > MAX_STAMPS)
        this->stamps.pop_front();
}

auto StampHistory::newestBefore(TimePoint sentAt) const -> std::optional<LeaderStamp>
{
    const auto found = std::find_if(this->stamps.rbegin(), this->stamps.rend(),
                                    [&](const auto &received) { return received.first < sentAt; });
    return found == this->stamps.rend() ? std::nullopt : std::optional(found->second);
}

} // namespace auburnrail
