#include <control/ControlNode.h>
#include <daemon/Logging.h>
#include <daemon/ShutdownSignal.h>
#include <platform/ControlFrontEnd.h>
#include <platform/EndpointRoleHooks.h>
#include <settings/ClusterSecret.h>
#include <wire/TransportMessages.h>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

constexpr auto EXIT_BAD_SETTINGS = 2;
constexpr auto EXIT_UNAVAILABLE = 3;

auto report(const absl::Status &status) -> int
{
    std::cerr << status.message() << "\n";
    return status.ok() ? 0 : EXIT_UNAVAILABLE;
}

auto makeOrders(const auburnrail::ControlSettings &settings) -> auburnrail::EndpointRoleHooks
{
    if (settings.promotionsAddress.empty())
        return {};
    return auburnrail::platform::makeEndpointOrders(
        {.address = settings.promotionsAddress, .holder = settings.member});
}

auto runNode(const auburnrail::ControlSettings &settings, const std::string &secret) -> int
{
    auto signals = auburnrail::ShutdownSignal();
    auto node = auburnrail::ControlNode(settings, makeOrders(settings));
    const auto frontEnd = auburnrail::platform::ControlFrontEnd(node.frontEndHooks(), secret);
    node.setFrontEnd([&frontEnd](const auto &request) { return frontEnd.handle(request); });
    if (const auto status = node.start(); !status.ok())
        return report(status);
    auburnrail::logLine(auburnrail::LogLevel::Info, "control", "started",
                        {{"member", settings.member}, {"address", settings.entriesAddress}});
    signals.wait();
    node.stop();
    auburnrail::logLine(auburnrail::LogLevel::Info, "control", "stopped",
                        {{"member", settings.member}});
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto app = CLI::App("Control member of the auburnrail database proxy.");
    auto path = std::string();
    auto initialise = false;
    app.add_option("settings", path, "INI file")->required();
    app.add_flag("--init", initialise,
                 "format the data directory of an initial member of a new cluster, and end");
    CLI11_PARSE(app, argc, argv);

    auto findings = auburnrail::Findings();
    const auto file =
        auburnrail::SettingsFile::load(path, auburnrail::controlSettingsTable(), findings);
    const auto settings = auburnrail::parseControlSettings(file, findings);
    const auto secret = auburnrail::readClusterSecret(settings.clusterSecretFile);
    if (findings.empty() && !secret.ok())
        findings.add(file.place("security", "cluster_secret_file"), secret.status().ToString());
    if (!findings.empty()) {
        std::cerr << findings.toString();
        return EXIT_BAD_SETTINGS;
    }
    if (initialise) {
        const auto status = auburnrail::ControlNode::initialise(settings);
        return status.ok() ? 0 : report(status);
    }
    auburnrail::setUpLogging(auburnrail::LogLevel::Info);
    auburnrail::logTransportMessages();
    const auto code = runNode(settings, *secret);
    auburnrail::shutDownLogging();
    return code;
}
