#include <session/SessionToken.h>

#include <algorithm>

namespace auburnrail {

auto SessionToken::positionOf(std::string_view group) const -> std::optional<Position>
{
    for (const auto &seen : this->groups) {
        if (seen.group == group)
            return seen.position;
    }
    return std::nullopt;
}

auto SessionToken::record(std::string_view group, Position position) -> void
{
    const auto found = std::find_if(this->groups.begin(), this->groups.end(),
                                    [&](const SessionGroup &seen) { return seen.group == group; });
    if (found != this->groups.end()) {
        found->position = std::max(found->position, position);
        std::rotate(this->groups.begin(), found, std::next(found));
        return;
    }
    this->groups.insert(this->groups.begin(),
                        SessionGroup{.group = std::string(group), .position = position});
    if (this->groups.size() > MAX_GROUPS)
        this->groups.pop_back();
}

} // namespace auburnrail
