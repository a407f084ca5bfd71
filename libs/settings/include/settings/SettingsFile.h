#ifndef AUBURNRAIL_SETTINGS_SETTINGSFILE_H
#define AUBURNRAIL_SETTINGS_SETTINGSFILE_H

#include <settings/SettingSpec.h>

#include <core/Findings.h>
#include <core/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnrail {

/// The checked values of one INI file. Every fault is added to the findings with its file, line,
/// section and key; the accessors then return the table's default, so that a parse function can go
/// on and collect the remaining faults.
class SettingsFile
{
public:
    /// Checks `text` against `table`. `source` names the file in findings.
    [[nodiscard]] static auto parse(std::string_view text, std::string source, SettingsTable table,
                                    Findings &findings) -> SettingsFile;

    /// Reads the file at `path` and parses it. A file that can't be read is a finding.
    [[nodiscard]] static auto load(const std::string &path, SettingsTable table, Findings &findings)
        -> SettingsFile;

    /// Value or default. The key must be in the table.
    [[nodiscard]] auto text(std::string_view section, std::string_view key) const -> std::string;
    [[nodiscard]] auto integer(std::string_view section, std::string_view key) const
        -> std::int64_t;
    [[nodiscard]] auto boolean(std::string_view section, std::string_view key) const -> bool;
    [[nodiscard]] auto list(std::string_view section, std::string_view key) const
        -> std::vector<std::string>;

    /// An integer whose unit in the table is milliseconds.
    [[nodiscard]] auto millis(std::string_view section, std::string_view key) const -> Duration;

    /// Where the key stands in the file, for findings of the caller's own checks.
    [[nodiscard]] auto place(std::string_view section, std::string_view key) const -> Place;

private:
    using Name = std::pair<std::string, std::string>;

    std::string source;
    SettingsTable table;
    std::map<Name, std::string> values;
    std::map<Name, std::uint32_t> lines;
};

} // namespace auburnrail

#endif
