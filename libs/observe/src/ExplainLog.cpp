#include <observe/ExplainLog.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

ExplainLog::ExplainLog(std::size_t capacity)
    : capacity(capacity)
{
    assert(capacity > 0 && "an explain log keeps at least one record");
}

auto ExplainLog::record(ExplainRecord record) -> void
{
    const RankedLock lock(this->mutex);
    auto &ring = this->rings[static_cast<std::size_t>(record.kind)];
    if (ring.records.size() < this->capacity)
        ring.records.push_back(std::move(record));
    else
        ring.records[ring.next] = std::move(record);
    ring.next = (ring.next + 1) % this->capacity;
}

auto ExplainLog::byRequest(std::string_view requestId) -> std::vector<ExplainRecord>
{
    const RankedLock lock(this->mutex);
    const auto matches = [&](const ExplainRecord &record) {
        return record.id == requestId;
    };
    auto found = this->newest(ExplainKind::Request, this->capacity, matches);
    auto refused = this->newest(ExplainKind::Refusal, this->capacity, matches);
    found.insert(found.end(), refused.begin(), refused.end());
    std::reverse(found.begin(), found.end());
    std::stable_sort(found.begin(), found.end(), [](const auto &left, const auto &right) {
        return left.atMillis < right.atMillis;
    });
    return found;
}

auto ExplainLog::refusals(std::string_view organisation, std::size_t limit)
    -> std::vector<ExplainRecord>
{
    const RankedLock lock(this->mutex);
    return this->newest(ExplainKind::Refusal, limit, [&](const ExplainRecord &record) {
        return organisation.empty() || record.organisation == organisation;
    });
}

auto ExplainLog::failovers(std::string_view group, std::size_t limit) -> std::vector<ExplainRecord>
{
    const RankedLock lock(this->mutex);
    return this->newest(ExplainKind::Failover, limit, [&](const ExplainRecord &record) {
        return group.empty() || record.id == group;
    });
}

auto ExplainLog::newest(ExplainKind kind, std::size_t limit, const Predicate &matches) const
    -> std::vector<ExplainRecord>
{
    const auto &ring = this->rings[static_cast<std::size_t>(kind)];
    const auto size = ring.records.size();
    auto found = std::vector<ExplainRecord>();
    for (auto back = std::size_t(1); back <= size && found.size() < limit; ++back) {
        const auto &record = ring.records[(ring.next + this->capacity - back) % this->capacity];
        if (matches(record))
            found.push_back(record);
    }
    return found;
}

} // namespace auburnrail
