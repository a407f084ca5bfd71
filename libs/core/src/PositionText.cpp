#include <core/PositionText.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace auburnrail {

auto positionText(const Position &position) -> std::string
{
    return absl::StrCat(position.term, ".", position.index);
}

auto parsePositionText(std::string_view text) -> std::optional<Position>
{
    const auto separator = text.find('.');
    if (separator == std::string_view::npos)
        return std::nullopt;
    auto position = Position();
    const auto good = absl::SimpleAtoi(std::string(text.substr(0, separator)), &position.term)
                      && absl::SimpleAtoi(std::string(text.substr(separator + 1)), &position.index);
    // SimpleAtoi also takes signs and surrounding blanks.
    return good && positionText(position) == text ? std::optional(position) : std::nullopt;
}

} // namespace auburnrail
