#include <load/LoadOptions.h>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

constexpr auto EXIT_BAD_OPTIONS = 2;

/// Reads `organisation=key` lines.
auto readKeys(const std::string &path) -> std::map<std::string, std::string>
{
    auto keys = std::map<std::string, std::string>();
    auto stream = std::ifstream(path);
    auto line = std::string();
    while (std::getline(stream, line)) {
        const auto equals = line.find('=');
        if (equals != std::string::npos)
            keys[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return keys;
}

/// One line per organisation, for the scripts that create them.
auto printOrganisations(const auburnrail::LoadProfile &profile) -> void
{
    for (const auto &organisation : profile.organisations) {
        std::cout << organisation.name << " " << organisation.rate << " " << organisation.burst
                  << "\n";
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto app = CLI::App("Load generator: sends an open-loop workload and checks the answers.");
    auto options = auburnrail::LoadOptions();
    auto profileName = std::string("kootenay");
    auto seconds = 10.0;
    auto scale = 1.0;
    auto overloaded = std::string();
    auto overload = 5.0;
    auto services = std::vector<std::string>();
    auto keysPath = std::string();
    auto jsonPath = std::string();
    auto listOnly = false;
    app.add_option("--entries", options.entries, "IP:port of each entry")->delimiter(',');
    app.add_option("--direct", options.direct, "IP:port of an endpoint to drive without entries");
    app.add_option("--seed", options.seed, "seed of the plan");
    app.add_option("--seconds", seconds, "length of the run");
    app.add_option("--profile", profileName, "kootenay or waitaki");
    app.add_option("--scale", scale, "factor on all rates");
    app.add_option("--overload", overloaded, "organisation that exceeds its rate");
    app.add_option("--overload-factor", overload, "its sent rate as a multiple of its rate");
    app.add_option("--services", services, "service names instead of the profile's")
        ->delimiter(',');
    app.add_option("--keys", keysPath, "file of organisation=key lines");
    app.add_option("--senders", options.sendersPerOrganisation, "threads per organisation")
        ->check(CLI::Range(1, 64));
    app.add_option("--json", jsonPath, "file for the report, besides standard output");
    app.add_flag("--organisations", listOnly, "print name, rate and burst of each and exit");
    CLI11_PARSE(app, argc, argv);

    const auto profile = auburnrail::parseName<auburnrail::ProfileName>(profileName);
    if (!profile || seconds <= 0 || scale <= 0) {
        std::cerr << "the profile must be known, and seconds and scale positive\n";
        return EXIT_BAD_OPTIONS;
    }
    options.profile = auburnrail::makeLoadProfile(*profile, scale);
    if (!services.empty())
        options.profile.services = services;
    for (auto &organisation : options.profile.organisations) {
        if (organisation.name == overloaded)
            organisation.sentShare = overload;
    }
    if (listOnly) {
        printOrganisations(options.profile);
        return 0;
    }
    if (options.entries.empty() == options.direct.empty()) {
        std::cerr << "give either --entries or --direct\n";
        return EXIT_BAD_OPTIONS;
    }
    options.keys = readKeys(keysPath);
    options.length =
        std::chrono::duration_cast<auburnrail::Duration>(std::chrono::duration<double>(seconds));
    const auto json = auburnrail::encodeLoadReport(auburnrail::runLoad(options));
    std::cout << json << "\n";
    if (!jsonPath.empty())
        std::ofstream(jsonPath) << json << "\n";
    return 0;
}
