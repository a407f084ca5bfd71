#include <standin/StandInSettings.h>

#include <array>

namespace auburnrail {

namespace {

constexpr auto STANDIN_SETTINGS = std::to_array<SettingSpec>({
    {.section = "standin", .key = "endpoint", .required = true, .meaning = "unique endpoint name"},
    {.section = "standin", .key = "group", .required = true, .meaning = "database group"},
    {.section = "standin", .key = "zone", .required = true, .meaning = "availability zone"},
    {.section = "standin",
     .key = "address",
     .kind = SettingKind::Address,
     .required = true,
     .meaning = "where the server listens"},
    {.section = "standin",
     .key = "entries",
     .kind = SettingKind::List,
     .meaning = "IP:port of the entries to announce to"},
    {.section = "standin",
     .key = "primary",
     .kind = SettingKind::Boolean,
     .defaultValue = "false",
     .meaning = "start as primary of term 1"},
    {.section = "standin",
     .key = "connection_limit",
     .kind = SettingKind::Integer,
     .defaultValue = "20",
     .unit = "connections",
     .minimum = 1,
     .maximum = 10000,
     .meaning = "connections accepted at one time"},
    {.section = "standin",
     .key = "connect_delay_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "10",
     .unit = "ms",
     .minimum = 0,
     .maximum = 10000,
     .meaning = "time to open a connection"},
    {.section = "standin",
     .key = "announce_interval_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "1000",
     .unit = "ms",
     .minimum = 10,
     .maximum = 60000,
     .meaning = "time between announcements"},
    {.section = "standin",
     .key = "primary_address",
     .kind = SettingKind::Address,
     .meaning = "start as replica of this primary in term 1"},
    {.section = "standin",
     .key = "fault_address",
     .kind = SettingKind::Address,
     .meaning = "second address for /fault, usable while frozen"},
    {.section = "standin",
     .key = "lag_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "5",
     .unit = "ms",
     .minimum = 0,
     .maximum = 60000,
     .meaning = "time before replicated entries are applied"},
    {.section = "standin",
     .key = "exchange_delay_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "0",
     .unit = "ms",
     .minimum = 0,
     .maximum = 60000,
     .meaning = "time added to each exchange"},
    {.section = "standin",
     .key = "pull_wait_ms",
     .kind = SettingKind::Integer,
     .defaultValue = "100",
     .unit = "ms",
     .minimum = 1,
     .maximum = 60000,
     .meaning = "longest wait of a pull for new entries"},
});

} // namespace

auto standInSettingsTable() -> SettingsTable
{
    return STANDIN_SETTINGS;
}

auto parseStandInSettings(const SettingsFile &file, Findings &findings) -> StandInSettings
{
    auto settings = StandInSettings{
        .endpoint = file.text("standin", "endpoint"),
        .group = file.text("standin", "group"),
        .zone = file.text("standin", "zone"),
        .address = file.text("standin", "address"),
        .entries = file.list("standin", "entries"),
        .primary = file.boolean("standin", "primary"),
        .primaryAddress = file.text("standin", "primary_address"),
        .faultAddress = file.text("standin", "fault_address"),
        .connectionLimit = file.integer("standin", "connection_limit"),
        .connectDelay = file.millis("standin", "connect_delay_ms"),
        .announceInterval = file.millis("standin", "announce_interval_ms"),
        .lag = file.millis("standin", "lag_ms"),
        .exchangeDelay = file.millis("standin", "exchange_delay_ms"),
        .pullWait = file.millis("standin", "pull_wait_ms"),
    };
    if (settings.primary && !settings.primaryAddress.empty())
        findings.add(file.place("standin", "primary_address"), "must be empty at a primary");
    return settings;
}

} // namespace auburnrail
