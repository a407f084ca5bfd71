#include "OpenStreams.h"

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail::detail {

auto OpenStreams::add(const void *stream, End end) -> void
{
    const RankedLock lock(this->mutex);
    this->ends.insert_or_assign(stream, std::move(end));
}

auto OpenStreams::remove(const void *stream) -> void
{
    const RankedLock lock(this->mutex);
    this->ends.erase(stream);
}

auto OpenStreams::endAll() -> void
{
    auto open = std::map<const void *, End>();
    {
        const RankedLock lock(this->mutex);
        open.swap(this->ends);
    }
    for (const auto &[stream, end] : open)
        end();
}

} // namespace auburnrail::detail
