#ifndef AUBURNRAIL_DAEMON_LOGGING_H
#define AUBURNRAIL_DAEMON_LOGGING_H

#include <daemon/LogLevel.h>

#include <core/RefusalHook.h>

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnrail {

/// Named facts of one log line, such as {"request", id}. Never a key or a token. Values are cut to
/// 1 KiB.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Sends log lines to standard output, one JSON object a line, at `level` and above. Lines are
/// written by a thread of their own; when standard output takes no more, they are discarded. Call
/// once, before the first line.
auto setUpLogging(LogLevel level) -> void;

/// Writes what is still queued. To be called before the process ends; lines after it are lost.
auto shutDownLogging() -> void;

/// Queues one line within the process's `LogBudget`; the next line says how many were omitted.
/// `logger` is the component's name. Never waits for standard output. Safe from any thread.
auto logLine(LogLevel level, std::string_view logger, std::string_view message,
             const LogFields &fields = {}) -> void;

/// As logLine, for lines that are often omitted: `compose` is called only when the line is written.
auto logComposedLine(LogLevel level, std::string_view logger, std::string_view message,
                     const std::function<auto()->LogFields> &compose) -> void;

constexpr auto NO_ROOM_FOR_THREAD = std::string_view("no room for another thread");

/// Logs that the system refused something that the component goes on without. `logger` and
/// `message` must outlive the returned function.
[[nodiscard]] auto refusalLogger(std::string_view logger, std::string_view message) -> RefusalHook;

} // namespace auburnrail

#endif
