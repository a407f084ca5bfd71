#include <control/FailoverLog.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <iterator>

namespace auburnrail {

namespace {

/// Whether `name` is the record's group or an endpoint that it names.
auto concerns(const FailoverRecord &record, const std::string &name) -> bool
{
    if (record.group == name || record.oldPrimary == name || record.newPrimary == name)
        return true;
    if (!record.lastPromotion)
        return false;
    const auto &fenced = record.lastPromotion->fenced;
    const auto &notFenced = record.lastPromotion->notFenced;
    return std::any_of(fenced.begin(), fenced.end(),
                       [&](const FenceEvidence &endpoint) { return endpoint.endpoint == name; })
           || std::find(notFenced.begin(), notFenced.end(), name) != notFenced.end();
}

} // namespace

auto FailoverLog::add(FailoverRecord record) -> void
{
    const RankedLock lock(this->mutex);
    this->records.push_back(std::move(record));
    if (this->records.size() > CAPACITY)
        this->records.pop_front();
}

auto FailoverLog::find(const std::string &name) -> std::vector<FailoverRecord>
{
    const RankedLock lock(this->mutex);
    auto found = std::vector<FailoverRecord>();
    std::copy_if(
        this->records.begin(), this->records.end(), std::back_inserter(found),
        [&](const FailoverRecord &record) { return name.empty() || concerns(record, name); });
    return found;
}

} // namespace auburnrail
