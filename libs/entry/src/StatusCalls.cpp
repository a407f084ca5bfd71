#include <entry/StatusCalls.h>

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail {

auto StatusCalls::add(const std::string &endpoint, Done done) -> bool
{
    const RankedLock lock(this->mutex);
    auto &calls = this->waiting[endpoint];
    calls.push_back(std::move(done));
    return calls.size() == 1;
}

auto StatusCalls::take(const std::string &endpoint) -> std::vector<Done>
{
    const RankedLock lock(this->mutex);
    auto row = this->waiting.extract(endpoint);
    return row.empty() ? std::vector<Done>() : std::move(row.mapped());
}

} // namespace auburnrail
