#ifndef AUBURNRAIL_SETTINGS_INILINEINDEX_H
#define AUBURNRAIL_SETTINGS_INILINEINDEX_H

#include <core/Findings.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace auburnrail::detail {

/// Line of each (section, key) of an INI text. The INI loader of POCO keeps no line numbers and
/// lets a repeated key win silently; repeated keys and lines of no known form become findings here.
[[nodiscard]] auto indexIniLines(std::string_view text, const std::string &source,
                                 Findings &findings)
    -> std::map<std::pair<std::string, std::string>, std::uint32_t>;

} // namespace auburnrail::detail

#endif
