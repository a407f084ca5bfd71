#ifndef AUBURNRAIL_SETTINGS_SETTINGKIND_H
#define AUBURNRAIL_SETTINGS_SETTINGKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// How the value of a setting is read.
enum class SettingKind : std::uint8_t {
    Text,
    Integer,
    Boolean,
    Name,    ///< As isName() has it.
    Address, ///< IP:port
    List,    ///< Items separated by commas.
};

template <>
inline constexpr auto ENUM_NAMES<SettingKind> = std::to_array<EnumName<SettingKind>>({
    {SettingKind::Text, "text"},
    {SettingKind::Integer, "integer"},
    {SettingKind::Boolean, "true or false"},
    {SettingKind::Name, "name"},
    {SettingKind::Address, "IP:port"},
    {SettingKind::List, "list"},
});

} // namespace auburnrail

#endif
