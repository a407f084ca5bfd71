#include <daemon/Logging.h>
#include <daemon/ShutdownSignal.h>
#include <entry/EntryNode.h>
#include <platform/LineCodec.h>
#include <settings/ClusterSecret.h>
#include <wire/TransportMessages.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

constexpr auto EXIT_BAD_SETTINGS = 2;
constexpr auto EXIT_UNAVAILABLE = 3;

auto readSettings(const std::string &path, auburnrail::Findings &findings)
    -> auburnrail::EntrySettings
{
    return auburnrail::parseEntrySettings(
        auburnrail::SettingsFile::load(path, auburnrail::entrySettingsTable(), findings), findings);
}

/// Reads the settings again, which may have changed since the start.
auto rereadMembers(const std::string &path) -> std::vector<std::string>
{
    auto findings = auburnrail::Findings();
    const auto settings = readSettings(path, findings);
    auto names = std::vector<std::string>();
    if (!findings.empty()) {
        auburnrail::logLine(auburnrail::LogLevel::Warning, "entry", "can't read the settings again",
                            {{"path", path}, {"findings", findings.toString()}});
        return names;
    }
    for (const auto &member : settings.controlMembers)
        names.push_back(member.name);
    return names;
}

auto runNode(const auburnrail::EntrySettings &settings, const std::string &secret,
             const std::string &path) -> int
{
    auto signals = auburnrail::ShutdownSignal();
    auto node = auburnrail::EntryNode(settings, secret,
                                      {.client = auburnrail::platform::makeClientCodec(),
                                       .server = auburnrail::platform::makeServerCodec()},
                                      [path] { return rereadMembers(path); });
    const auto status = node.start();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_UNAVAILABLE;
    }
    auburnrail::logLine(auburnrail::LogLevel::Info, "entry", "started",
                        {{"instance", settings.instance},
                         {"callers_address", settings.callersAddress},
                         {"sessions_address", settings.sessionsAddress}});
    signals.wait();
    auburnrail::logLine(auburnrail::LogLevel::Info, "entry", "shutting down",
                        {{"instance", settings.instance}});
    node.shutDown();
    auburnrail::logLine(auburnrail::LogLevel::Info, "entry", "stopped",
                        {{"instance", settings.instance}});
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
    const auto secret = auburnrail::readClusterSecret(settings.clusterSecretFile);
    if (findings.empty() && !secret.ok())
        findings.add(file.place("security", "cluster_secret_file"), secret.status().ToString());
    if (!findings.empty()) {
        std::cerr << findings.toString();
        return EXIT_BAD_SETTINGS;
    }
    auburnrail::setUpLogging(auburnrail::LogLevel::Info);
    auburnrail::logTransportMessages();
    const auto code = runNode(settings, *secret, path);
    auburnrail::shutDownLogging();
    return code;
}
