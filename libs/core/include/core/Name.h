#ifndef AUBURNRAIL_CORE_NAME_H
#define AUBURNRAIL_CORE_NAME_H

#include <cstddef>
#include <string_view>

namespace auburnrail {

constexpr auto MAX_NAME_BYTES = std::size_t(128);

/// Letters, digits, '.', '_', '-', '/' and ':'. Names, label keys and label values consist of
/// these, so that selectors, paths and logs need no quoting.
[[nodiscard]] constexpr auto isNameCharacter(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '.' || character == '_'
           || character == '-' || character == '/' || character == ':';
}

[[nodiscard]] constexpr auto isName(std::string_view text) -> bool
{
    if (text.empty() || text.size() > MAX_NAME_BYTES)
        return false;
    for (const auto character : text) {
        if (!isNameCharacter(character))
            return false;
    }
    return true;
}

} // namespace auburnrail

#endif
