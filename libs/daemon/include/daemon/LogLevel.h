#ifndef AUBURNRAIL_DAEMON_LOGLEVEL_H
#define AUBURNRAIL_DAEMON_LOGLEVEL_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Severity of a log line.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

template <>
inline constexpr auto ENUM_NAMES<LogLevel> = std::to_array<EnumName<LogLevel>>({
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
});

} // namespace auburnrail

#endif
