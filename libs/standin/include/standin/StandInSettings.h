#ifndef AUBURNRAIL_STANDIN_STANDINSETTINGS_H
#define AUBURNRAIL_STANDIN_STANDINSETTINGS_H

#include <settings/SettingsFile.h>

#include <core/Findings.h>
#include <core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Settings of `auburnrail-standin`, one emulated database server.
struct StandInSettings
{
    std::string endpoint; ///< Unique name.
    std::string group;
    std::string zone;
    std::string address;              ///< IP:port
    std::vector<std::string> entries; ///< IP:port of each entry it announces itself to.
    bool primary = false;             ///< Starts as the primary of term 1.
    std::int64_t connectionLimit = 0;
    Duration connectDelay{};
    Duration announceInterval{};
};

[[nodiscard]] auto standInSettingsTable() -> SettingsTable;

/// Reads the stand-in's INI file; faults are added to `findings`.
[[nodiscard]] auto parseStandInSettings(const SettingsFile &file, Findings &findings)
    -> StandInSettings;

} // namespace auburnrail

#endif
