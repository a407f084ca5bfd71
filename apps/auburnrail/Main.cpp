#include <http/HttpConnection.h>

#include <core/MonotonicClock.h>
#include <operators/OperatorProgram.h>
#include <platform/ConfigurationCodec.h>
#include <settings/ControlSettings.h>
#include <settings/EntrySettings.h>
#include <standin/StandInSettings.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace {

auto environment(const char *name) -> std::string
{
    const auto *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

auto readFile(const std::string &path) -> absl::StatusOr<std::string>
{
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream)
        return absl::NotFoundError("can't read " + path);
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

auto writeFile(const std::string &path, const std::string &text) -> absl::Status
{
    auto stream = std::ofstream(path, std::ios::binary);
    stream << text;
    stream.close();
    return stream ? absl::OkStatus() : absl::UnavailableError("can't write " + path);
}

auto checkEntry(const std::string &path, auburnrail::Findings &findings) -> void
{
    const auto file =
        auburnrail::SettingsFile::load(path, auburnrail::entrySettingsTable(), findings);
    (void)auburnrail::parseEntrySettings(file, findings);
}

auto checkControl(const std::string &path, auburnrail::Findings &findings) -> void
{
    const auto file =
        auburnrail::SettingsFile::load(path, auburnrail::controlSettingsTable(), findings);
    (void)auburnrail::parseControlSettings(file, findings);
}

auto checkStandIn(const std::string &path, auburnrail::Findings &findings) -> void
{
    const auto file =
        auburnrail::SettingsFile::load(path, auburnrail::standInSettingsTable(), findings);
    (void)auburnrail::parseStandInSettings(file, findings);
}

auto makeHooks() -> auburnrail::ProgramHooks
{
    return auburnrail::ProgramHooks{
        .client = {.exchange = auburnrail::exchangeOnce,
                   .now = auburnrail::monotonicNow,
                   .pause =
                       [](auburnrail::Duration length) {
                           std::this_thread::sleep_for(length);
                       }},
        .random = auburnrail::makeSecureRandom(),
        .readFile = readFile,
        .writeFile = writeFile,
        .checks = {{"control", checkControl}, {"entry", checkEntry}, {"standin", checkStandIn}},
        .parseConfiguration =
            [](const std::string &text) {
                return auburnrail::platform::decodeConfiguration(text, "");
            },
        .configurationTarget = std::string(auburnrail::platform::CONFIGURATION_TARGET),
        .operatorName = environment("USER").empty() ? "operator" : environment("USER"),
        .controlAddresses = environment("AUBURNRAIL_CONTROL"),
    };
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto output = auburnrail::runOperatorProgram(
        makeHooks(), std::vector<std::string>(argv + 1, argv + argc));
    std::cout << output.out;
    std::cerr << output.err;
    return static_cast<int>(output.code);
}
