#include "FleetFixture.h"

namespace auburnrail {

namespace {

constexpr auto WRITE_LIMIT = std::chrono::seconds(30);
constexpr auto REQUEST_LIMIT = std::chrono::seconds(2);

} // namespace

auto fleetSettings() -> TestFleetSettings
{
    return TestFleetSettings{.binDirectory = AUBURNRAIL_BIN_DIRECTORY};
}

auto configure(TestFleet &fleet, const std::string &name, int rate, int burst) -> std::string
{
    fleet.mustCommand({"organisation", "set", name, "--rate", std::to_string(rate), "--burst",
                       std::to_string(burst), "--label", "tier=gold"});
    fleet.mustCommand({"service", "set", "logs", "--group", "logs"});
    fleet.mustCommand({"route", "set", "all", "--service", "logs", "--selector", "tier"});
    const auto output =
        fleet.mustCommand({"key", "create", name, "--secret-file", fleet.folder() + "/secret"});
    const auto begin = output.find("ar_");
    return output.substr(begin, output.find_first_of(" \n\"", begin) - begin);
}

auto request(const std::string &key, AccessMode mode, const std::string &statement, Duration limit)
    -> CallerRequest
{
    auto result = CallerRequest();
    result.service = "logs";
    result.key = key;
    result.mode = mode;
    result.statement = statement;
    result.deadline = std::chrono::steady_clock::now() + limit;
    return result;
}

auto writeEventually(TestFleet &fleet, const std::string &entry, const std::string &key,
                     const std::string &statement) -> CallerResponse
{
    auto answer = CallerResponse();
    std::ignore = fleet.eventually(WRITE_LIMIT, [&] {
        answer = fleet.call(entry, request(key, AccessMode::Write, statement, REQUEST_LIMIT));
        return answer.reason == ReasonCode::Completed;
    });
    return answer;
}

auto countOf(const std::string &text, const std::string &part) -> int
{
    auto count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace auburnrail
