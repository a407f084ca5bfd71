#include <settings/EntrySettings.h>

#include <array>

namespace auburnrail {

namespace {

constexpr auto ENTRY_SETTINGS = std::to_array<SettingSpec>({
    {.section = "entry",
     .key = "instance",
     .kind = SettingKind::Name,
     .required = true,
     .meaning = "unique instance name"},
    {.section = "entry",
     .key = "zone",
     .kind = SettingKind::Name,
     .required = true,
     .meaning = "availability zone"},
    {.section = "entry",
     .key = "callers_address",
     .kind = SettingKind::Address,
     .meaning = "where callers send requests and endpoints announce themselves"},
    {.section = "entry",
     .key = "sessions_address",
     .kind = SettingKind::Address,
     .meaning = "where callers open sessions"},
    {.section = "relay",
     .key = "address",
     .kind = SettingKind::Address,
     .meaning =
         "where this entry runs statements of other entries; absent: statements are not passed on"},
    {.section = "routing",
     .key = "even_load",
     .kind = SettingKind::Boolean,
     .defaultValue = "false",
     .meaning = "choose among endpoints in proportion to their expected response time"},
    {.section = "entry",
     .key = "session_threads",
     .kind = SettingKind::Integer,
     .defaultValue = "2",
     .unit = "threads",
     .minimum = 1,
     .maximum = 64,
     .meaning = "threads that handle sessions"},
    {.section = "entry",
     .key = "max_sessions",
     .kind = SettingKind::Integer,
     .defaultValue = "3000",
     .unit = "sessions",
     .minimum = 1,
     .maximum = 100000,
     .meaning = "sessions open at one time; each takes a file descriptor"},
    {.section = "entry",
     .key = "transaction_grace_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "3000",
     .unit = "ms",
     .minimum = 0,
     .maximum = 600000,
     .meaning = "how long open transactions may go on at shutdown"},
    {.section = "entry",
     .key = "metrics_address",
     .kind = SettingKind::Address,
     .meaning = "metrics alone; empty: only on the operators' address"},
    {.section = "entry",
     .key = "operators_address",
     .kind = SettingKind::Address,
     .required = true,
     .meaning = "metrics, health, explain and reports"},
    {.section = "entry",
     .key = "worker_threads",
     .kind = SettingKind::Integer,
     .defaultValue = "64",
     .unit = "threads",
     .minimum = 1,
     .maximum = 4096,
     .meaning = "caller connections served at one time"},
    {.section = "entry",
     .key = "max_body_bytes",
     .kind = SettingKind::Integer,
     .defaultValue = "1048576",
     .unit = "bytes",
     .minimum = 1024,
     .maximum = 67108864,
     .meaning = "largest request body"},
    {.section = "entry",
     .key = "ready_grace_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "500",
     .unit = "ms",
     .minimum = 0,
     .maximum = 60000,
     .meaning = "from reporting not ready to refusing connections"},
    {.section = "entry",
     .key = "drain_limit_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "10000",
     .unit = "ms",
     .minimum = 0,
     .maximum = 600000,
     .meaning = "longest wait for work under way at shutdown"},
    {.section = "control",
     .key = "members",
     .kind = SettingKind::List,
     .meaning = "name@IP:port of each control member's heartbeat address"},
    {.section = "control",
     .key = "seeds",
     .kind = SettingKind::List,
     .meaning = "instead of members: IP:port of some members; a member's name is its IP"},
    {.section = "control",
     .key = "entries_port",
     .kind = SettingKind::Integer,
     .defaultValue = "0",
     .unit = "port",
     .minimum = 0,
     .maximum = 65535,
     .meaning = "port of the members' heartbeat addresses, beside seeds"},
    {.section = "security",
     .key = "cluster_secret_file",
     .meaning = "file with the secret of the cluster; absent: keys are hashed without one"},
});

} // namespace

auto entrySettingsTable() -> SettingsTable
{
    return ENTRY_SETTINGS;
}

namespace {

/// Fills the members from the seeds, when the file names those instead.
auto takeSeeds(const SettingsFile &file, EntrySettings &settings, Findings &findings) -> void
{
    const auto seeds = file.list("control", "seeds");
    if (seeds.empty()) {
        if (settings.controlMembers.empty())
            findings.add(file.place("control", "members"), "must be set, or seeds instead");
        return;
    }
    settings.membersByIp = true;
    const auto port = file.integer("control", "entries_port");
    if (port == 0)
        findings.add(file.place("control", "entries_port"), "must be set beside seeds");
    for (const auto &seed : seeds) {
        const auto ip = ipOf(seed);
        if (ip.empty())
            findings.add(file.place("control", "seeds"), "'" + seed + "' is not IP:port");
        settings.controlMembers.push_back({ip, ip + ":" + std::to_string(port)});
    }
}

} // namespace

auto parseEntrySettings(const SettingsFile &file, Findings &findings) -> EntrySettings
{
    auto settings = EntrySettings{
        .instance = file.text("entry", "instance"),
        .zone = file.text("entry", "zone"),
        .callersAddress = file.text("entry", "callers_address"),
        .operatorsAddress = file.text("entry", "operators_address"),
        .metricsAddress = file.text("entry", "metrics_address"),
        .sessionsAddress = file.text("entry", "sessions_address"),
        .relayAddress = file.text("relay", "address"),
        .evenLoad = file.boolean("routing", "even_load"),
        .sessionThreads = file.integer("entry", "session_threads"),
        .maxSessions = file.integer("entry", "max_sessions"),
        .transactionGrace = file.millis("entry", "transaction_grace_ms"),
        .controlMembers = parseMemberAddresses(file, "control", "members", findings),
        .clusterSecretFile = file.text("security", "cluster_secret_file"),
        .workerThreads = file.integer("entry", "worker_threads"),
        .maxBodyBytes = file.integer("entry", "max_body_bytes"),
        .readyGrace = file.millis("entry", "ready_grace_ms"),
        .drainLimit = file.millis("entry", "drain_limit_ms"),
    };
    takeSeeds(file, settings, findings);
    if (settings.callersAddress.empty() && settings.sessionsAddress.empty()) {
        findings.add(file.place("entry", "callers_address"),
                     "callers_address or sessions_address must be set");
    }
    if (!settings.callersAddress.empty() && settings.callersAddress == settings.operatorsAddress) {
        findings.add(file.place("entry", "operators_address"), "must differ from callers_address");
    }
    return settings;
}

} // namespace auburnrail
