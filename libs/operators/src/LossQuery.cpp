#include "LossQuery.h"

#include "LeaderOrder.h"
#include "ProgramPrinter.h"

#include <core/PositionText.h>
#include <http/JsonReader.h>
#include <http/JsonWriter.h>

#include <Poco/URI.h>

#include <absl/strings/str_cat.h>

namespace auburnrail::detail {

namespace {

constexpr auto SHOW = "loss";
constexpr auto ACCEPT = "accept-loss";

auto targetOf(const std::string &group) -> std::string
{
    auto uri = Poco::URI();
    uri.setPath("/v1/loss");
    uri.addQueryParameter("group", group);
    return uri.getPathAndQuery();
}

auto acknowledgedLine(JsonReader &reader) -> std::string
{
    auto line = absl::StrCat("acknowledged ", reader.text("acknowledged"));
    if (reader.has("acknowledged_gap"))
        absl::StrAppend(&line, " (", reader.text("acknowledged_gap"), "), at least ",
                        reader.text("acknowledged_at_least"));
    return line + "\n";
}

auto endpointLines(const std::string &group, JsonReader &endpoint) -> std::string
{
    const auto name = endpoint.text("endpoint");
    const auto position = endpoint.text("position");
    auto lines = absl::StrCat(name, " fenced at ", position);
    if (endpoint.boolean("rebuilding"))
        return lines + ", has lost its data: can't be accepted\n";
    if (endpoint.has("lacks_entries"))
        absl::StrAppend(&lines, ", lacks ", endpoint.integer("lacks_entries"), " entries");
    absl::StrAppend(&lines, ", may lose ", endpoint.text("may_lose"),
                    "\n  to accept it: auburnrail group ", ACCEPT, " ", group, " --endpoint ", name,
                    " --position ", position, "\n");
    return lines;
}

auto lossText(JsonReader &reader) -> std::string
{
    const auto group = reader.text("group");
    auto text = absl::StrCat("group ", group, " waits for evidence in term ",
                             reader.integer("term"), ", old primary ", reader.text("old_primary"));
    if (reader.has("waited_ms"))
        absl::StrAppend(&text, ", since ", reader.integer("waited_ms"), " ms");
    absl::StrAppend(&text, "\n", acknowledgedLine(reader));
    for (auto &endpoint : reader.objects("endpoints"))
        text += endpointLines(group, endpoint);
    for (const auto &name : reader.texts("not_fenced"))
        absl::StrAppend(&text, name, " has not answered: waited for\n");
    for (const auto &name : reader.texts("unidentified"))
        absl::StrAppend(&text, name, " has not announced itself since it was fenced\n");
    for (const auto &name : reader.texts("ended_processes"))
        absl::StrAppend(&text, name, " may have confirmed commits, and its process is gone\n");
    return text;
}

} // namespace

auto LossQuery::takes(const Invocation &invocation) -> bool
{
    return invocation.noun == "group" && (invocation.verb == SHOW || invocation.verb == ACCEPT);
}

LossQuery::LossQuery(const ProgramHooks &hooks, const Invocation &invocation,
                     const std::vector<std::string> &addresses)
    : hooks(hooks)
    , invocation(invocation)
    , limit(std::chrono::seconds(invocation.timeLimitS))
    , client(hooks.client, addresses)
{
}

auto LossQuery::run() -> ProgramOutput
{
    return this->invocation.verb == SHOW ? this->show() : this->accept();
}

auto LossQuery::show() -> ProgramOutput
{
    const auto leader = this->client.findLeader(this->limit);
    if (!leader.ok())
        return printFailure(leader.status());
    const auto body = OperatorClient(this->hooks.client, {*leader})
                          .get(targetOf(this->invocation.name), this->limit);
    if (!body.ok())
        return printFailure(body.status());
    auto reader = JsonReader(*body, "loss");
    const auto waits = reader.boolean("waits");
    const auto code = waits ? ExitCode::Done : ExitCode::Refused;
    if (this->invocation.json)
        return ProgramOutput{code, *body + "\n", ""};
    if (!waits) {
        return ProgramOutput{
            code, "",
            absl::StrCat("no failover of group ", this->invocation.name, " waits for evidence\n")};
    }
    return ProgramOutput{code, lossText(reader), ""};
}

auto LossQuery::accept() -> ProgramOutput
{
    if (!parsePositionText(this->invocation.position))
        return ProgramOutput{ExitCode::BadInput, "", "--position: must be TERM.INDEX\n"};
    auto writer = JsonWriter();
    writer.text("group", this->invocation.name).text("endpoint", this->invocation.endpoint);
    writer.text("position", this->invocation.position).text("operator", this->hooks.operatorName);
    const auto answer = orderLeader(this->hooks.client, this->client, "/v1/accept-loss",
                                    writer.toString(), this->limit);
    auto done = std::string();
    if (answer.code == ExitCode::Done)
        done = absl::StrCat(
            "accepted; may be lost: ", JsonReader(answer.body, "answer").text("may_lose"),
            "; see explain failover\n");
    return answer.toOutput(this->invocation.json, std::move(done));
}

} // namespace auburnrail::detail
