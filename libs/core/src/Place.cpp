#include <core/Place.h>

namespace auburnrail {

auto toString(const Place &place) -> std::string
{
    auto text = place.source;
    if (place.line != 0)
        text += ":" + std::to_string(place.line);
    if (!place.section.empty())
        text += (text.empty() ? "[" : ": [") + place.section + "]";
    if (!place.key.empty())
        text += (text.empty() ? "" : " ") + place.key;
    return text;
}

} // namespace auburnrail
