#include <daemon/Logging.h>

#include <daemon/LogBudget.h>

#include <core/MonotonicClock.h>
#include <core/StartThread.h>

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <memory>
#include <system_error>
#include <tuple>

namespace auburnrail {

namespace {

/// Longer values are cut: a client may choose names and ids of a whole message's length.
constexpr auto MAX_VALUE_BYTES = std::size_t(1024);

/// Lines that wait while standard output takes none; more than the budget gives at once.
constexpr auto QUEUED_LINES = 512;

auto processBudget() -> LogBudget &
{
    static auto budget = LogBudget(monotonicNow());
    return budget;
}

auto toLog4cxx(LogLevel level) -> log4cxx::LevelPtr
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

/// The queue has a thread, which it starts at once.
auto startQueue() -> std::shared_ptr<log4cxx::AsyncAppender>
{
    auto queue = std::shared_ptr<log4cxx::AsyncAppender>();
    const auto attempt = [&queue]() -> absl::Status {
        try {
            queue = std::make_shared<log4cxx::AsyncAppender>();
            return absl::OkStatus();
        } catch (const std::system_error &error) {
            return absl::ResourceExhaustedError(error.what());
        }
    };
    std::ignore = untilThreadStarts(attempt, {});
    return queue;
}

} // namespace

auto setUpLogging(LogLevel level) -> void
{
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setPrettyPrint(false);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto queue = startQueue();
    queue->addAppender(appender);
    queue->setBufferSize(QUEUED_LINES);
    queue->setBlocking(false);
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxx(level));
}

auto shutDownLogging() -> void
{
    log4cxx::LogManager::shutdown();
}

auto logLine(LogLevel level, std::string_view logger, std::string_view message,
             const LogFields &fields) -> void
{
    logComposedLine(level, logger, message, [&fields] { return fields; });
}

auto logComposedLine(LogLevel level, std::string_view logger, std::string_view message,
                     const std::function<auto()->LogFields> &compose) -> void
{
    const auto target = log4cxx::Logger::getLogger(std::string(logger));
    const auto severity = toLog4cxx(level);
    if (!target->isEnabledFor(severity))
        return;
    const auto omitted = processBudget().admit(level, monotonicNow());
    if (!omitted)
        return;
    auto fields = compose();
    if (omitted->routine > 0)
        fields.emplace_back("omitted_routine", std::to_string(omitted->routine));
    if (omitted->failures > 0)
        fields.emplace_back("omitted_failures", std::to_string(omitted->failures));
    for (const auto &[name, value] : fields)
        log4cxx::MDC::put(std::string(name), value.substr(0, MAX_VALUE_BYTES));
    target->forcedLog(severity, std::string(message));
    for (const auto &field : fields)
        log4cxx::MDC::remove(std::string(field.first));
}

auto refusalLogger(std::string_view logger, std::string_view message) -> RefusalHook
{
    return [logger, message](const absl::Status &status) {
        logLine(LogLevel::Error, logger, message, {{"error", std::string(status.message())}});
    };
}

} // namespace auburnrail
