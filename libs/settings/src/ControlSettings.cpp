#include <settings/ControlSettings.h>

#include <algorithm>
#include <array>

namespace auburnrail {

namespace {

constexpr auto CONTROL_SETTINGS = std::to_array<SettingSpec>({
    {.section = "control", .key = "cluster", .required = true, .meaning = "name of the cluster"},
    {.section = "control", .key = "member", .required = true, .meaning = "name of this member"},
    {.section = "control", .key = "zone", .required = true, .meaning = "availability zone"},
    {.section = "control",
     .key = "consensus_address",
     .kind = SettingKind::Address,
     .required = true,
     .meaning = "where this member listens for consensus messages"},
    {.section = "control",
     .key = "members",
     .kind = SettingKind::List,
     .meaning = "name@IP:port of every member's consensus address"},
    {.section = "control",
     .key = "seeds",
     .kind = SettingKind::List,
     .meaning = "instead of members: IP:port of members' operators' addresses; a member's name is "
                "its IP, and all use the same ports"},
    {.section = "control",
     .key = "bootstrap",
     .kind = SettingKind::Boolean,
     .defaultValue = "false",
     .meaning = "first start of the cluster: format an empty data directory"},
    {.section = "control",
     .key = "tolerated_losses",
     .kind = SettingKind::Integer,
     .defaultValue = "1",
     .unit = "members",
     .minimum = 0,
     .maximum = 4,
     .meaning = "beside seeds: members that may be lost at one time; twice as many and one vote"},
    {.section = "control",
     .key = "adopt_primaries",
     .kind = SettingKind::Boolean,
     .defaultValue = "false",
     .meaning = "groups have a primary before the first start; publish it as it announces itself"},
    {.section = "control",
     .key = "endpoint_silence_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "0",
     .unit = "ms",
     .minimum = 0,
     .maximum = 3600000,
     .meaning = "an endpoint that is silent for this long is removed; 0: never"},
    {.section = "control",
     .key = "promotions_address",
     .kind = SettingKind::Address,
     .meaning = "where promotions are ordered; absent: at the endpoints themselves"},
    {.section = "control",
     .key = "entries_address",
     .kind = SettingKind::Address,
     .required = true,
     .meaning = "where entries send their heartbeats"},
    {.section = "control",
     .key = "metrics_address",
     .kind = SettingKind::Address,
     .meaning = "metrics alone; empty: only on the operators' address"},
    {.section = "control",
     .key = "operators_address",
     .kind = SettingKind::Address,
     .required = true,
     .meaning = "operators' commands, metrics and health"},
    {.section = "control",
     .key = "member_operators",
     .kind = SettingKind::List,
     .meaning = "name@IP:port of every member's operators' address"},
    {.section = "control",
     .key = "data_directory",
     .required = true,
     .meaning = "directory for the log, snapshots and identity"},
    {.section = "consensus",
     .key = "heartbeat_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "100",
     .unit = "ms",
     .minimum = 10,
     .maximum = 1000,
     .meaning = "leader's heartbeat interval"},
    {.section = "consensus",
     .key = "election_timeout_min_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "500",
     .unit = "ms",
     .minimum = 50,
     .maximum = 10000,
     .meaning = "shortest election timeout"},
    {.section = "consensus",
     .key = "election_timeout_max_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "1000",
     .unit = "ms",
     .minimum = 100,
     .maximum = 20000,
     .meaning = "longest election timeout"},
    {.section = "consensus",
     .key = "log_limit_mib",
     .kind = SettingKind::Integer,
     .defaultValue = "16",
     .unit = "MiB",
     .minimum = 1,
     .maximum = 4096,
     .meaning = "committed entries kept in the log; the disk needs about twice this and twice the "
                "size of a snapshot"},
    {.section = "consensus",
     .key = "disk_stall_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "1000",
     .unit = "ms",
     .minimum = 50,
     .maximum = 60000,
     .meaning = "a disk that has not completed a write for this long is treated as full"},
    {.section = "security",
     .key = "cluster_secret_file",
     .meaning = "file with the secret of the cluster; absent: keys are hashed without one"},
});

auto contains(const std::vector<MemberAddress> &members, const std::string &name) -> bool
{
    return std::any_of(members.begin(), members.end(),
                       [&](const auto &member) { return member.name == name; });
}

/// Fills the members from the seeds, when the file names those instead.
auto takeSeeds(const SettingsFile &file, ControlSettings &settings, Findings &findings) -> void
{
    const auto seeds = file.list("control", "seeds");
    if (seeds.empty()) {
        if (settings.members.empty())
            findings.add(file.place("control", "members"), "must be set, or seeds instead");
        if (settings.memberOperators.empty())
            findings.add(file.place("control", "member_operators"), "must be set beside members");
        return;
    }
    settings.membersByIp = true;
    for (const auto &seed : seeds) {
        const auto ip = ipOf(seed);
        if (ip.empty()) {
            findings.add(file.place("control", "seeds"), "'" + seed + "' is not IP:port");
            continue;
        }
        settings.members.push_back({ip, withPortOf(ip, settings.consensusAddress)});
        settings.memberOperators.push_back({ip, seed});
    }
}

} // namespace

auto controlSettingsTable() -> SettingsTable
{
    return CONTROL_SETTINGS;
}

auto parseControlSettings(const SettingsFile &file, Findings &findings) -> ControlSettings
{
    auto settings = ControlSettings{
        .cluster = file.text("control", "cluster"),
        .member = file.text("control", "member"),
        .zone = file.text("control", "zone"),
        .consensusAddress = file.text("control", "consensus_address"),
        .members = parseMemberAddresses(file, "control", "members", findings),
        .entriesAddress = file.text("control", "entries_address"),
        .operatorsAddress = file.text("control", "operators_address"),
        .metricsAddress = file.text("control", "metrics_address"),
        .memberOperators = parseMemberAddresses(file, "control", "member_operators", findings),
        .dataDirectory = file.text("control", "data_directory"),
        .clusterSecretFile = file.text("security", "cluster_secret_file"),
        .bootstrap = file.boolean("control", "bootstrap"),
        .adoptsPrimaries = file.boolean("control", "adopt_primaries"),
        .endpointSilenceLimit = file.millis("control", "endpoint_silence_ms"),
        .promotionsAddress = file.text("control", "promotions_address"),
        .toleratedLosses = file.integer("control", "tolerated_losses"),
        .heartbeatInterval = file.millis("consensus", "heartbeat_ms"),
        .minimumElectionTimeout = file.millis("consensus", "election_timeout_min_ms"),
        .maximumElectionTimeout = file.millis("consensus", "election_timeout_max_ms"),
        .logLimitMebibytes = file.integer("consensus", "log_limit_mib"),
        .diskStallLimit = file.millis("consensus", "disk_stall_ms"),
    };
    takeSeeds(file, settings, findings);
    // Seeds are some of the members; they need not name this one.
    if (!settings.membersByIp && !settings.member.empty()
        && !contains(settings.members, settings.member))
        findings.add(file.place("control", "member"), "is not in members");
    if (settings.minimumElectionTimeout < 3 * settings.heartbeatInterval) {
        // A follower must survive two lost heartbeats without calling an election.
        findings.add(file.place("consensus", "election_timeout_min_ms"),
                     "must be at least 3 times heartbeat_ms");
    }
    if (settings.maximumElectionTimeout <= settings.minimumElectionTimeout) {
        findings.add(file.place("consensus", "election_timeout_max_ms"),
                     "must be greater than election_timeout_min_ms");
    }
    return settings;
}

} // namespace auburnrail
