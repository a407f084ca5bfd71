#include "ControlQueries.h"

#include <http/HttpConnection.h>
#include <operators/CommandJson.h>

#include <stdexcept>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

constexpr auto WAIT_LIMIT = 60s;
constexpr auto QUERY_LIMIT = 5s;
constexpr auto SUBMIT_LIMIT = 30s;
constexpr auto HTTP_OK = 200;

/// Waits for the status of a member, other than `except`, that leads.
auto leaderStatus(TestFleet &fleet, const std::string &except) -> JsonReader
{
    auto status = std::optional<JsonReader>();
    const auto found = fleet.eventually(WAIT_LIMIT, [&] {
        for (const auto &name : controlNames()) {
            if (name == except)
                continue;
            status = getJson(fleet, name, "/v1/status");
            if (status && status->boolean("leading"))
                return true;
        }
        return false;
    });
    if (!found)
        throw std::runtime_error("no control member leads");
    return *std::move(status);
}

} // namespace

auto controlNames() -> std::vector<std::string>
{
    return {"control-1", "control-2", "control-3"};
}

auto entryNames() -> std::vector<std::string>
{
    return {"entry-1", "entry-2", "entry-3"};
}

auto getJson(const TestFleet &fleet, const std::string &process, const std::string &target)
    -> std::optional<JsonReader>
{
    const auto result = exchangeOnce(
        fleet.operatorsAddress(process),
        {.method = "GET", .target = target, .headers = {}, .body = {}, .peer = {}}, QUERY_LIMIT);
    if (result.phase != ExchangePhase::Answered || result.response.status != HTTP_OK)
        return std::nullopt;
    return JsonReader(result.response.body, process + target);
}

auto waitForLeader(TestFleet &fleet, const std::string &except) -> std::string
{
    return leaderStatus(fleet, except).text("instance");
}

auto leaderRevision(TestFleet &fleet, const std::string &except) -> std::uint64_t
{
    return static_cast<std::uint64_t>(leaderStatus(fleet, except).integer("revision"));
}

auto revisionOf(const TestFleet &fleet, const std::string &control) -> std::uint64_t
{
    auto status = getJson(fleet, control, "/v1/status");
    return status ? static_cast<std::uint64_t>(status->integer("revision")) : 0;
}

auto reachesRevision(TestFleet &fleet, const std::string &control, std::uint64_t revision) -> bool
{
    return fleet.eventually(WAIT_LIMIT, [&] { return revisionOf(fleet, control) >= revision; });
}

auto labelAt(const TestFleet &fleet, const std::string &control, const std::string &organisation,
             const std::string &label) -> std::string
{
    auto state = getJson(fleet, control, "/v1/state?kind=organisation&name=" + organisation);
    if (!state)
        return "";
    auto objects = state->objects("objects");
    if (objects.empty())
        return "";
    const auto labels = objects.front().labels("labels");
    const auto found = labels.find(label);
    return found == labels.end() ? "" : found->second;
}

auto commandEventually(TestFleet &fleet, const std::vector<std::string> &words) -> std::string
{
    auto result = ProgramResult();
    const auto done = fleet.eventually(WAIT_LIMIT, [&] {
        result = fleet.command(words);
        return result.exitStatus == 0;
    });
    if (!done)
        throw std::runtime_error(words.front() + " failed: " + result.output);
    return result.output;
}

auto submitTo(const TestFleet &fleet, const std::string &control, const Command &command)
    -> SubmitAnswer
{
    const auto result = exchangeOnce(fleet.operatorsAddress(control),
                                     {.method = "POST",
                                      .target = "/v1/commands",
                                      .headers = {},
                                      .body = encodeCommandJson(command),
                                      .peer = {}},
                                     SUBMIT_LIMIT);
    if (result.phase == ExchangePhase::Answered)
        return decodeSubmitAnswer(result.response);
    return SubmitAnswer{.status = SubmitStatus::Unknown, .message = result.error};
}

} // namespace auburnrail
