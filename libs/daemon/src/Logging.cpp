#include <daemon/Logging.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace auburnrail {

namespace {

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

} // namespace

auto setUpLogging(LogLevel level) -> void
{
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setPrettyPrint(false);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxx(level));
}

auto logLine(LogLevel level, std::string_view logger, std::string_view message,
             const LogFields &fields) -> void
{
    const auto target = log4cxx::Logger::getLogger(std::string(logger));
    const auto severity = toLog4cxx(level);
    if (!target->isEnabledFor(severity))
        return;
    for (const auto &[name, value] : fields)
        log4cxx::MDC::put(std::string(name), value);
    target->forcedLog(severity, std::string(message));
    for (const auto &field : fields)
        log4cxx::MDC::remove(std::string(field.first));
}

} // namespace auburnrail
