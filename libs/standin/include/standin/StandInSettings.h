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
    std::string primaryAddress;       ///< IP:port of the primary to follow in term 1; may be empty.
    std::string faultAddress; ///< Second IP:port for /fault, usable while frozen; may be empty.
    std::int64_t connectionLimit = 0;
    Duration connectDelay{};
    Duration announceInterval{};
    Duration lag{};           ///< Before replicated entries are applied.
    Duration exchangeDelay{}; ///< Added to each exchange, for the distance between zones.
    Duration pullWait{};      ///< Longest wait of a pull for new entries.
};

[[nodiscard]] auto standInSettingsTable() -> SettingsTable;

/// Reads the stand-in's INI file; faults are added to `findings`.
[[nodiscard]] auto parseStandInSettings(const SettingsFile &file, Findings &findings)
    -> StandInSettings;

} // namespace auburnrail

#endif
