#include <daemon/Logging.h>
#include <daemon/ShutdownSignal.h>
#include <standin/StandInServer.h>

#include <core/WorkerPool.h>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr auto EXIT_BAD_SETTINGS = 2;
constexpr auto EXIT_UNAVAILABLE = 3;
/// A pull and an announcement to each of a few entries block at one time.
constexpr auto WORKER_COUNT = 6;

auto runServer(const auburnrail::StandInSettings &settings) -> int
{
    auto signals = auburnrail::ShutdownSignal();
    auto pool = auburnrail::WorkerPool(WORKER_COUNT);
    auto server = auburnrail::StandInServer(settings, pool.executor(),
                                            auburnrail::StandInServerHooks{.crash = [] {
                                                std::_Exit(1);
                                            }});
    const auto status = server.start();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_UNAVAILABLE;
    }
    auburnrail::logLine(auburnrail::LogLevel::Info, "standin", "started",
                        {{"endpoint", settings.endpoint}, {"address", settings.address}});
    signals.wait();
    server.release();
    pool.stop();
    server.stop();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto app = CLI::App("Emulated database server of a group, for tests and demonstrations.");
    auto path = std::string();
    app.add_option("settings", path, "INI file")->required();
    CLI11_PARSE(app, argc, argv);

    auto findings = auburnrail::Findings();
    const auto file =
        auburnrail::SettingsFile::load(path, auburnrail::standInSettingsTable(), findings);
    const auto settings = auburnrail::parseStandInSettings(file, findings);
    if (!findings.empty()) {
        std::cerr << findings.toString();
        return EXIT_BAD_SETTINGS;
    }
    auburnrail::setUpLogging(auburnrail::LogLevel::Info);
    const auto code = runServer(settings);
    auburnrail::shutDownLogging();
    return code;
}
