#include <settings/EntrySettings.h>

#include <array>

namespace auburnrail {

namespace {

constexpr auto ENTRY_SETTINGS = std::to_array<SettingSpec>({
    {.section = "entry", .key = "instance", .required = true, .meaning = "unique instance name"},
    {.section = "entry", .key = "zone", .required = true, .meaning = "availability zone"},
    {.section = "entry",
     .key = "callers_address",
     .kind = SettingKind::Address,
     .required = true,
     .meaning = "where callers connect and endpoints announce themselves"},
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
     .required = true,
     .meaning = "name@IP:port of each control member's heartbeat address"},
    {.section = "security",
     .key = "cluster_secret_file",
     .required = true,
     .meaning = "file with the secret of the cluster"},
});

} // namespace

auto entrySettingsTable() -> SettingsTable
{
    return ENTRY_SETTINGS;
}

auto parseEntrySettings(const SettingsFile &file, Findings &findings) -> EntrySettings
{
    auto settings = EntrySettings{
        .instance = file.text("entry", "instance"),
        .zone = file.text("entry", "zone"),
        .callersAddress = file.text("entry", "callers_address"),
        .operatorsAddress = file.text("entry", "operators_address"),
        .controlMembers = parseMemberAddresses(file, "control", "members", findings),
        .clusterSecretFile = file.text("security", "cluster_secret_file"),
        .workerThreads = file.integer("entry", "worker_threads"),
        .maxBodyBytes = file.integer("entry", "max_body_bytes"),
        .readyGrace = file.millis("entry", "ready_grace_ms"),
        .drainLimit = file.millis("entry", "drain_limit_ms"),
    };
    if (!settings.callersAddress.empty() && settings.callersAddress == settings.operatorsAddress) {
        findings.add(file.place("entry", "operators_address"), "must differ from callers_address");
    }
    return settings;
}

} // namespace auburnrail
