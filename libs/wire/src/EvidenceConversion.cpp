#include "EvidenceConversion.h"

#include <utility>

namespace auburnrail::detail {

auto toWire(const Position &position) -> wire::Position
{
    auto to = wire::Position();
    to.term = static_cast<std::int64_t>(position.term);
    to.index = static_cast<std::int64_t>(position.index);
    return to;
}

auto fromWire(const wire::Position &position) -> Position
{
    return Position{.term = static_cast<std::uint64_t>(position.term),
                    .index = static_cast<std::uint64_t>(position.index)};
}

auto toWire(const TermEvidence &from) -> wire::TermEvidence
{
    auto to = wire::TermEvidence();
    to.publishedIn = static_cast<std::int64_t>(from.publishedIn);
    to.start = toWire(from.start);
    for (const auto &process : from.ended) {
        auto &added = to.ended.emplace_back();
        added.endpoint = process.endpoint;
        added.startedAt = static_cast<std::int64_t>(process.startedAt);
    }
    to.synchronousReplicas = static_cast<std::int32_t>(from.synchronousReplicas);
    if (from.acknowledged)
        to.__set_acknowledged(toWire(*from.acknowledged));
    if (from.lossAcceptedAfter)
        to.__set_lossAcceptedAfter(toWire(*from.lossAcceptedAfter));
    return to;
}

auto fromWire(wire::TermEvidence &&from) -> TermEvidence
{
    auto to =
        TermEvidence{.publishedIn = static_cast<std::uint64_t>(from.publishedIn),
                     .start = fromWire(from.start),
                     .synchronousReplicas = static_cast<std::uint32_t>(from.synchronousReplicas)};
    if (from.__isset.lossAcceptedAfter)
        to.lossAcceptedAfter = fromWire(from.lossAcceptedAfter);
    if (from.__isset.acknowledged)
        to.acknowledged = fromWire(from.acknowledged);
    for (auto &process : from.ended)
        to.ended.push_back(
            {std::move(process.endpoint), static_cast<std::uint64_t>(process.startedAt)});
    return to;
}

} // namespace auburnrail::detail
