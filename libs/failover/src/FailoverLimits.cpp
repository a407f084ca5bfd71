#include <failover/FailoverLimits.h>

#include <algorithm>

namespace auburnrail {

auto FailoverLimits::retryDelay(std::size_t tries) const -> Duration
{
    auto delay = this->retryInitial;
    for (auto i = std::size_t(1); i < tries && delay < this->retryMaximum; ++i)
        delay *= 2;
    return std::min(delay, this->retryMaximum);
}

} // namespace auburnrail
