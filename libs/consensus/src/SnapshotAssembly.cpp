#include <consensus/detail/SnapshotAssembly.h>

#include <utility>

namespace auburnrail::detail {

auto SnapshotAssembly::add(const SnapshotRequest &request) -> std::optional<Snapshot>
{
    if (this->partial.index != request.index || this->partial.term != request.term)
        this->partial = Snapshot{request.index, request.term, request.configuration, ""};
    if (request.offset != this->partial.content.size())
        return std::nullopt;
    this->partial.content += request.chunk;
    if (!request.last)
        return std::nullopt;
    return std::exchange(this->partial, Snapshot());
}

auto SnapshotAssembly::nextOffset() const -> std::uint64_t
{
    return this->partial.content.size();
}

} // namespace auburnrail::detail
