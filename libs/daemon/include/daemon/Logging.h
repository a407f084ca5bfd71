#ifndef AUBURNRAIL_DAEMON_LOGGING_H
#define AUBURNRAIL_DAEMON_LOGGING_H

#include <daemon/LogLevel.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnrail {

/// Named facts of one log line, such as {"request", id}. Never a key or a token.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Sends log lines to standard output, one JSON object a line, at `level` and above. Call once,
/// before the first line.
auto setUpLogging(LogLevel level) -> void;

/// Writes one line. `logger` is the component's name. Safe from any thread.
auto logLine(LogLevel level, std::string_view logger, std::string_view message,
             const LogFields &fields = {}) -> void;

} // namespace auburnrail

#endif
