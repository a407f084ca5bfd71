#include <entry/AnnouncedEndpoints.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto AnnouncedEndpoints::record(Announcement announcement) -> void
{
    const RankedLock lock(this->mutex);
    auto name = announcement.endpoint;
    this->endpoints.insert_or_assign(std::move(name), std::move(announcement));
}

auto AnnouncedEndpoints::primaryOf(const std::string &group) -> std::optional<Announcement>
{
    const RankedLock lock(this->mutex);
    auto best = std::optional<Announcement>();
    for (const auto &[name, announcement] : this->endpoints) {
        const auto eligible =
            announcement.group == group && announcement.primary && !announcement.leaving;
        if (eligible && (!best || best->term < announcement.term))
            best = announcement;
    }
    return best;
}

} // namespace auburnrail
