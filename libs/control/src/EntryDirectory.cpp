#include <control/EntryDirectory.h>

#include <core/RankedLock.h>

#include <algorithm>

namespace auburnrail {

auto EntryDirectory::record(EntryRecord record) -> void
{
    const RankedLock lock(this->mutex);
    auto name = record.instance;
    this->records.insert_or_assign(std::move(name), std::move(record));
}

auto EntryDirectory::countInZone(const std::string &zone, TimePoint now) -> std::size_t
{
    const RankedLock lock(this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->records.begin(), this->records.end(), [&](const auto &row) {
            return row.second.zone == zone && now - row.second.lastSeenAt <= LIVE_MS;
        }));
}

auto EntryDirectory::list(TimePoint now) -> std::vector<EntryRecord>
{
    const RankedLock lock(this->mutex);
    std::erase_if(this->records,
                  [&](const auto &entry) { return now - entry.second.lastSeenAt > LIFETIME_MS; });
    auto result = std::vector<EntryRecord>();
    for (const auto &[name, record] : this->records)
        result.push_back(record);
    return result;
}

} // namespace auburnrail
