#include <control/FailoverLog.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <iterator>

namespace auburnrail {

auto FailoverLog::add(FailoverRecord record) -> void
{
    const RankedLock lock(this->mutex);
    this->records.push_back(std::move(record));
    if (this->records.size() > CAPACITY)
        this->records.pop_front();
}

auto FailoverLog::find(const std::string &group) -> std::vector<FailoverRecord>
{
    const RankedLock lock(this->mutex);
    auto found = std::vector<FailoverRecord>();
    std::copy_if(
        this->records.begin(), this->records.end(), std::back_inserter(found),
        [&](const FailoverRecord &record) { return group.empty() || record.group == group; });
    return found;
}

} // namespace auburnrail
