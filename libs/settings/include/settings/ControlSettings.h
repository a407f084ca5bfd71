#ifndef AUBURNRAIL_SETTINGS_CONTROLSETTINGS_H
#define AUBURNRAIL_SETTINGS_CONTROLSETTINGS_H

#include <settings/MemberAddress.h>
#include <settings/SettingSpec.h>
#include <settings/SettingsFile.h>

#include <core/Findings.h>
#include <core/Time.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Settings of `auburnrail-control`.
struct ControlSettings
{
    std::string cluster;          ///< Name of the cluster; a data directory belongs to one cluster.
    std::string member;           ///< Name of this control member.
    std::string zone;             ///< Availability zone this member stands in.
    std::string consensusAddress; ///< IP:port this member listens on for consensus messages.
    std::vector<MemberAddress> members; ///< Where this member reaches every member; own included.
    std::string entriesAddress;         ///< IP:port for the heartbeats of entries.
    std::string operatorsAddress;       ///< IP:port for operators, metrics and health.
    std::string metricsAddress;         ///< IP:port for metrics alone; empty: none.
    std::vector<MemberAddress> memberOperators; ///< Operators' address of every member.
    std::string dataDirectory;
    std::string clusterSecretFile; ///< File with the secret shared by the cluster's instances.
    bool bootstrap = false; ///< First start of the cluster: an empty data directory is formatted.
    bool adoptsPrimaries = false;    ///< See ControlTablesSettings.
    Duration endpointSilenceLimit{}; ///< See ControlTablesSettings.
    std::string promotionsAddress;   ///< IP:port of the platform's promotion call; may be empty.
    /// Members are named by their IP and use the same ports, so that one that is not in `members`
    /// can be reached too.
    bool membersByIp = false;
    std::int64_t toleratedLosses = 0; ///< Members that may be lost at one time, with membersByIp.
    Duration heartbeatInterval{};     ///< Between messages of a consensus leader to its followers.
    Duration minimumElectionTimeout{};
    Duration maximumElectionTimeout{};
    std::int64_t logLimitMebibytes = 0; ///< Bound of the committed entries in the log.
    Duration diskStallLimit{};          ///< See ConsensusSettings.
};

/// Rows of every setting of a control member.
[[nodiscard]] auto controlSettingsTable() -> SettingsTable;

/// Reads a control member's INI file. Faults are added to `findings`; the result is usable only
/// when there are none.
[[nodiscard]] auto parseControlSettings(const SettingsFile &file, Findings &findings)
    -> ControlSettings;

} // namespace auburnrail

#endif
