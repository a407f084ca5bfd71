#include "FleetQuery.h"

#include "CommandMaker.h"
#include "LeaderOrder.h"
#include "ProgramPrinter.h"
#include "RecordList.h"
#include "ResultStatusTable.h"

#include <http/JsonReader.h>
#include <http/JsonWriter.h>
#include <operators/StateQuery.h>

#include <Poco/URI.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace auburnrail::detail {

namespace {

/// A slow entry must not use up the time of the others.
constexpr auto ENTRY_TIMEOUT = Duration(std::chrono::seconds(2));

auto targetWith(const std::string &path, const std::string &parameter, const std::string &value)
    -> std::string
{
    auto uri = Poco::URI();
    uri.setPath(path);
    uri.addQueryParameter(parameter, value);
    return uri.getPathAndQuery();
}

auto printRecords(const RecordList &records, bool json) -> ProgramOutput
{
    auto output = ProgramOutput{.out = json ? records.toJson() + "\n" : records.toText()};
    if (!records.isComplete())
        output.err = "some instances did not answer; their records are missing\n";
    return output;
}

/// One line for each object: kind, name, labels.
auto kindLines(const std::string &body) -> std::string
{
    auto lines = std::string();
    auto reader = JsonReader(body, "state");
    for (auto &object : reader.objects("objects")) {
        auto labels = std::string();
        for (const auto &[key, value] : object.labels("labels"))
            absl::StrAppend(&labels, labels.empty() ? "" : ",", key, "=", value);
        absl::StrAppend(&lines, object.text("kind"), "\t", object.text("name"), "\t", labels, "\n");
    }
    return lines.empty() ? "no objects match\n" : lines;
}

} // namespace

auto FleetQuery::takes(const Invocation &invocation) -> bool
{
    const auto &noun = invocation.noun;
    return noun == "explain" || noun == "report" || noun == "members" || noun == "entries"
           || noun == "promote";
}

FleetQuery::FleetQuery(const ProgramHooks &hooks, const Invocation &invocation,
                       std::vector<std::string> addresses)
    : hooks(hooks)
    , invocation(invocation)
    , addresses(std::move(addresses))
    , limit(std::chrono::seconds(invocation.timeLimitS))
    , client(hooks.client, this->addresses)
{
}

auto FleetQuery::run() -> ProgramOutput
{
    if (this->invocation.noun == "explain")
        return this->explain();
    if (this->invocation.noun == "report")
        return this->reportBurn();
    if (this->invocation.noun == "members")
        return this->listMembers();
    if (this->invocation.noun == "entries")
        return this->listEntries();
    return this->promote();
}

auto FleetQuery::explain() -> ProgramOutput
{
    if (this->invocation.verb == "request")
        return this->explainByEntries("/v1/explain/request", "id");
    if (this->invocation.verb == "refusal")
        return this->explainByEntries("/v1/explain/refusals", "organisation");
    if (this->invocation.verb == "failover")
        return this->explainFailover();
    return this->explainSelector();
}

auto FleetQuery::entriesBody() -> absl::StatusOr<std::string>
{
    // Waits for any member to answer, so that a control restart does not fail the query.
    if (const auto first = this->client.get("/v1/entries", this->limit); !first.ok())
        return first.status();
    auto longest = std::string();
    for (const auto &[address, body] : this->client.getFromEach("/v1/entries", this->limit)) {
        if (body.size() > longest.size())
            longest = body;
    }
    if (longest.empty())
        return absl::UnavailableError("no control member answered");
    return longest;
}

auto FleetQuery::explainByEntries(const std::string &path, const std::string &parameter)
    -> ProgramOutput
{
    const auto entries = this->entriesBody();
    if (!entries.ok())
        return printFailure(entries.status());
    auto records = RecordList("records");
    auto reader = JsonReader(*entries, "entries");
    const auto request = HttpRequest{.method = "GET",
                                     .target = targetWith(path, parameter, this->invocation.name),
                                     .headers = {},
                                     .body = {},
                                     .peer = {}};
    auto asked = std::size_t(0);
    for (auto &entry : reader.objects("entries")) {
        ++asked;
        const auto exchange = this->hooks.client.exchange(entry.text("operators_address"), request,
                                                          std::min(ENTRY_TIMEOUT, this->limit));
        if (exchange.phase == ExchangePhase::Answered && exchange.response.status == HTTP_OK)
            records.add(exchange.response.body);
        else
            records.addUnanswered(entry.text("instance"));
    }
    if (asked == 0)
        return printFailure(absl::UnavailableError("no control member knows of an entry"));
    records.sortDescending("at_ms");
    auto output = printRecords(records, this->invocation.json);
    if (records.empty() && !records.isComplete())
        output.code = ExitCode::Unavailable;
    else if (records.empty() && this->invocation.verb == "request")
        output.code = ExitCode::Refused;
    return output;
}

auto FleetQuery::explainFailover() -> ProgramOutput
{
    const auto target = targetWith("/v1/explain/failover", "group", this->invocation.name);
    if (const auto first = this->client.get(target, this->limit); !first.ok())
        return printFailure(first.status());
    // Every member keeps the failovers that it led.
    const auto answers = this->client.getFromEach(target, this->limit);
    auto records = RecordList("failovers");
    for (const auto &address : this->addresses) {
        if (const auto found = answers.find(address); found != answers.end())
            records.add(found->second);
        else
            records.addUnanswered(address);
    }
    records.sortDescending("ended_ms_ago");
    return printRecords(records, this->invocation.json);
}

auto FleetQuery::explainSelector() -> ProgramOutput
{
    auto findings = Findings();
    auto query = StateQuery();
    query.selector = Selector::parse(this->invocation.name, "selector", findings);
    if (!findings.empty())
        return printFindings(findings, this->invocation.json);
    const auto body = this->client.get(targetOf(query), this->limit);
    if (!body.ok())
        return printFailure(body.status());
    return ProgramOutput{ExitCode::Done, this->invocation.json ? *body + "\n" : kindLines(*body),
                         ""};
}

auto FleetQuery::reportBurn() -> ProgramOutput
{
    // Entries report to the leader only; the counts of other members are old.
    const auto leader = this->client.findLeader(this->limit);
    if (!leader.ok())
        return printFailure(leader.status());
    auto source = OperatorClient(this->hooks.client, {*leader});
    const auto get = [&](const std::string &format) {
        return source.get(targetWith("/v1/report/burn", "format", format), this->limit);
    };
    const auto body = get(this->invocation.json ? "json" : "text");
    if (!body.ok())
        return printFailure(body.status());
    if (!this->invocation.htmlFile.empty()) {
        const auto page = get("html");
        if (!page.ok())
            return printFailure(page.status());
        if (const auto written = this->hooks.writeFile(this->invocation.htmlFile, *page);
            !written.ok())
            return ProgramOutput{ExitCode::BadInput, "", std::string(written.message()) + "\n"};
    }
    if (this->invocation.json)
        return ProgramOutput{ExitCode::Done, *body + "\n", ""};
    return ProgramOutput{ExitCode::Done, body->empty() ? "no objectives are set\n" : *body, ""};
}

auto FleetQuery::listMembers() -> ProgramOutput
{
    const auto body = this->client.get("/v1/members", this->limit);
    if (!body.ok())
        return printFailure(body.status());
    // The leader knows how far each member is; others answer with what they have.
    auto shown = *body;
    for (const auto &[address, answer] : this->client.getFromEach("/v1/members", this->limit)) {
        if (JsonReader(answer, "members").text("role") == "leader")
            shown = answer;
    }
    if (this->invocation.json)
        return ProgramOutput{ExitCode::Done, shown + "\n", ""};
    auto members = RecordList("members");
    members.add(shown);
    auto reader = JsonReader(shown, "members");
    return ProgramOutput{ExitCode::Done,
                         absl::StrCat("leader ", reader.text("leader"), ", term ",
                                      reader.integer("term"), ", commit ", reader.integer("commit"),
                                      "\n", members.toText()),
                         ""};
}

auto FleetQuery::listEntries() -> ProgramOutput
{
    const auto body = this->entriesBody();
    if (!body.ok())
        return printFailure(body.status());
    auto entries = RecordList("entries");
    entries.add(*body);
    return printRecords(entries, this->invocation.json);
}

auto FleetQuery::promote() -> ProgramOutput
{
    auto writer = JsonWriter();
    writer.text("group", this->invocation.name).text("endpoint", this->invocation.endpoint);
    return orderLeader(this->hooks.client, this->client, "/v1/promote", writer.toString(),
                       this->limit)
        .toOutput(this->invocation.json, "started; see explain failover\n");
}

} // namespace auburnrail::detail
