#ifndef AUBURNRAIL_CORE_PLACE_H
#define AUBURNRAIL_CORE_PLACE_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// Where in some input a finding stands. Empty members are left out when it is printed.
struct Place
{
    std::string source;     ///< File name, or the name of a request part.
    std::uint32_t line = 0; ///< One-based; 0 when the finding has no line.
    std::string section;
    std::string key;
};

/// `file:line: [section] key`, without the parts that are empty.
[[nodiscard]] auto toString(const Place &place) -> std::string;

} // namespace auburnrail

#endif
