#ifndef AUBURNRAIL_SETTINGS_ENTRYSETTINGS_H
#define AUBURNRAIL_SETTINGS_ENTRYSETTINGS_H

#include <settings/MemberAddress.h>
#include <settings/SettingSpec.h>
#include <settings/SettingsFile.h>

#include <core/Findings.h>
#include <core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Settings of `auburnrail-entry`.
struct EntrySettings
{
    std::string instance;         ///< Unique name of this instance.
    std::string zone;             ///< Availability zone this instance stands in.
    std::string callersAddress;   ///< IP:port for callers and endpoint announcements.
    std::string operatorsAddress; ///< IP:port for operators, metrics and health.
    std::string metricsAddress;   ///< IP:port for metrics alone; empty: none.
    std::string sessionsAddress;  ///< IP:port for callers' sessions; may be empty.
    std::string relayAddress;     ///< IP:port for statements of other entries; may be empty.
    bool evenLoad =
        false; ///< Choose among endpoints in proportion to their expected response time.
    std::int64_t sessionThreads = 0; ///< Threads that handle sessions.
    std::int64_t maxSessions = 0;    ///< Sessions open at one time.
    Duration transactionGrace{};     ///< How long open transactions may go on at shutdown.
    /// Control members are named by their IP and use the same ports.
    bool membersByIp = false;
    std::vector<MemberAddress> controlMembers; ///< Heartbeat address of each control member.
    std::string clusterSecretFile;  ///< File with the secret shared by the cluster's instances.
    std::int64_t workerThreads = 0; ///< Callers served at one time.
    std::int64_t maxBodyBytes = 0;
    Duration readyGrace{}; ///< From reporting not ready to refusing connections.
    Duration drainLimit{}; ///< Longest wait for work under way at shutdown.
};

/// Rows of every setting of an entry.
[[nodiscard]] auto entrySettingsTable() -> SettingsTable;

/// Reads an entry's INI file. Faults are added to `findings`; the result is usable only when there
/// are none.
[[nodiscard]] auto parseEntrySettings(const SettingsFile &file, Findings &findings)
    -> EntrySettings;

} // namespace auburnrail

#endif
