#include <daemon/Logging.h>
#include <daemon/ShutdownSignal.h>
#include <entry/EntryServer.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

constexpr auto EXIT_BAD_SETTINGS = 2;
constexpr auto EXIT_UNAVAILABLE = 3;

auto runServer(const auburnrail::EntrySettings &settings) -> int
{
    auto signals = auburnrail::ShutdownSignal();
    auto server = auburnrail::EntryServer(
        settings, [] { return std::chrono::steady_clock::now(); }, auburnrail::makeSecureRandom());
    const auto status = server.start();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_UNAVAILABLE;
    }
    auburnrail::logLine(auburnrail::LogLevel::Info, "entry", "started",
                        {{"instance", settings.instance}, {"address", settings.callersAddress}});
    signals.wait();
    server.stop();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto app = CLI::App("Entry of the auburnrail database proxy.");
    auto path = std::string();
    app.add_option("settings", path, "INI file")->required();
    CLI11_PARSE(app, argc, argv);

    auto findings = auburnrail::Findings();
    const auto file =
        auburnrail::SettingsFile::load(path, auburnrail::entrySettingsTable(), findings);
    const auto settings = auburnrail::parseEntrySettings(file, findings);
    if (!findings.empty()) {
        std::cerr << findings.toString();
        return EXIT_BAD_SETTINGS;
    }
    auburnrail::setUpLogging(auburnrail::LogLevel::Info);
    return runServer(settings);
}
