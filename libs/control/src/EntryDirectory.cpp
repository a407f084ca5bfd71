#include <control/EntryDirectory.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto EntryDirectory::record(EntryRecord record) -> void
{
    const RankedLock lock(this->mutex);
    auto name = record.instance;
    this->records.insert_or_assign(std::move(name), std::move(record));
}

auto EntryDirectory::list(TimePoint now) -> std::vector<EntryRecord>
{
    const RankedLock lock(this->mutex);
    std::erase_if(this->records,
                  [&](const auto &entry) { return now - entry.second.heardAt > LIFETIME_MS; });
    auto result = std::vector<EntryRecord>();
    for (const auto &[name, record] : this->records)
        result.push_back(record);
    return result;
}

} // namespace auburnrail
