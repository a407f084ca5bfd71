#include "IniLineIndex.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace auburnrail::detail {

auto indexIniLines(std::string_view text, const std::string &source, Findings &findings)
    -> std::map<std::pair<std::string, std::string>, std::uint32_t>
{
    auto lines = std::map<std::pair<std::string, std::string>, std::uint32_t>();
    auto section = std::string();
    auto number = std::uint32_t(0);
    for (const auto rawLine : absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
        ++number;
        const auto line = absl::StripAsciiWhitespace(rawLine);
        if (line.empty() || line.front() == ';' || line.front() == '#')
            continue;
        if (line.front() == '[') {
            if (line.back() != ']')
                findings.add(Place{source, number, section, ""}, "section header without ']'");
            section = std::string(
                absl::StripAsciiWhitespace(absl::StripSuffix(absl::StripPrefix(line, "["), "]")));
            continue;
        }
        const auto equals = line.find('=');
        if (equals == absl::string_view::npos || equals == 0) {
            findings.add(Place{source, number, section, ""}, "expected 'key = value'");
            continue;
        }
        auto key = std::string(absl::StripAsciiWhitespace(line.substr(0, equals)));
        const auto inserted = lines.emplace(std::pair(section, key), number);
        if (!inserted.second) {
            findings.add(Place{source, number, section, key},
                         "set twice, first in line " + std::to_string(inserted.first->second));
        }
    }
    return lines;
}

} // namespace auburnrail::detail
