#ifndef AUBURNRAIL_SETTINGS_SETTINGSPEC_H
#define AUBURNRAIL_SETTINGS_SETTINGSPEC_H

#include <settings/SettingKind.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace auburnrail {

/// One row of a program's settings table: what may stand in its INI file.
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingKind kind = SettingKind::Text;
    std::string_view defaultValue; ///< Used when the key is absent; see `required`.
    std::string_view unit;         ///< Empty when the value has none.
    std::int64_t minimum = 0;      ///< Smallest integer allowed.
    std::int64_t maximum = 0;      ///< Largest integer allowed.
    bool required = false;         ///< The key must be present and not empty.
    std::string_view meaning;
};

/// All settings of one program.
using SettingsTable = std::span<const SettingSpec>;

} // namespace auburnrail

#endif
