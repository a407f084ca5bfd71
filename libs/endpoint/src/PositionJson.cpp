#include "PositionJson.h"

namespace auburnrail::detail {

auto writePosition(JsonWriter &writer, const std::string &member, Position position) -> void
{
    auto child = JsonWriter();
    child.integer("term", static_cast<std::int64_t>(position.term));
    child.integer("index", static_cast<std::int64_t>(position.index));
    writer.object(member, child);
}

auto readPosition(JsonReader &reader, const std::string &member) -> Position
{
    auto child = reader.object(member);
    return Position{.term = static_cast<std::uint64_t>(child.integer("term")),
                    .index = static_cast<std::uint64_t>(child.integer("index"))};
}

} // namespace auburnrail::detail
