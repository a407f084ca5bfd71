#include <control/ControlOperators.h>

#include "FailoverJson.h"

#include <http/JsonReader.h>
#include <http/JsonWriter.h>
#include <http/QueryString.h>
#include <observe/BurnHtml.h>
#include <observe/BurnJson.h>
#include <observe/BurnText.h>
#include <operators/OperatorHandler.h>

namespace auburnrail {

namespace {

constexpr auto OPERATOR_THREADS = std::size_t(16);
constexpr auto SUBMIT_TIME_LIMIT = std::chrono::seconds(10);
constexpr auto STATUS_BAD_REQUEST = 400;
constexpr auto STATUS_NOT_FOUND = 404;
constexpr auto STATUS_CONFLICT = 409;
constexpr auto STATUS_UNAVAILABLE = 503;

auto textResponse(std::string body) -> HttpResponse
{
    return HttpResponse{.body = std::move(body), .contentType = "text/plain; charset=utf-8"};
}

auto jsonResponse(const JsonWriter &writer) -> HttpResponse
{
    return HttpResponse{.body = writer.toString()};
}

} // namespace

ControlOperators::ControlOperators(const ControlSettings &controlSettings,
                                   ControlTables &controlTables,
                                   ControlOperatorsHooks operatorsHooks)
    : settings(controlSettings)
    , tables(controlTables)
    , hooks(std::move(operatorsHooks))
    , operatorHooks(makeHooks())
    , losses(makeLossHooks())
    , server(HttpServerSettings{.address = settings.operatorsAddress,
                                .workerThreads = OPERATOR_THREADS},
             HttpServerHooks{.handle = [this](const HttpRequest &request) {
                 return this->handle(request);
             }})
{
}

auto ControlOperators::start() -> absl::Status
{
    return this->server.start();
}

auto ControlOperators::stop() -> void
{
    this->server.stop();
}

auto ControlOperators::makeHooks() -> OperatorHooks
{
    return OperatorHooks{
        .submit = [this](const Command &command) { return this->submit(command); },
        .state =
            [this] { return std::make_shared<const FleetObjects>(this->tables.store.objects()); },
        .status =
            [this] {
                return this->status();
            }};
}

auto ControlOperators::makeLossHooks() -> LossServiceHooks
{
    return LossServiceHooks{
        .now = [this] { return this->tables.executor.now(); },
        .isLeading = [this] { return this->tables.isLeading(this->tables.executor.now()); },
        .leader = [this] { return this->addressOfLeader(); },
        .waitingEvidence =
            [this](const std::string &group, TimePoint now) {
                return this->tables.failover.waitingEvidence(group, now);
            },
        .currentRecord =
            [this](const std::string &group) { return this->tables.failover.currentRecord(group); },
        .acceptLoss =
            [this](const std::string &group, const AcceptedLoss &loss, TimePoint now) {
                return this->tables.failover.acceptLoss(group, loss, now);
            },
        .decided =
            [this](LossDecision decision) {
                this->tables.metrics.failovers().countDecision(decision);
            }};
}

auto ControlOperators::submit(const Command &command) -> SubmitAnswer
{
    auto response = SubmitAnswer();
    if (!this->tables.hooks.isLeaderWithQuorum(this->tables.executor.now())) {
        response.status = SubmitStatus::NotLeader;
        response.leader = this->addressOfLeader();
        response.message = "this member does not lead";
        return response;
    }
    if (const auto problem = this->zoneProblemOf(command); problem) {
        response.status = SubmitStatus::Decided;
        response.result = *problem;
        return response;
    }
    const auto result = this->tables.run(command, CommandWait::InForce, SUBMIT_TIME_LIMIT);
    if (absl::IsDeadlineExceeded(result.status())) {
        response.status = SubmitStatus::Unknown;
        response.message = "the command was not accepted in time; resend it with the same id";
        return response;
    }
    if (result.ok()) {
        response.status = SubmitStatus::Decided;
        response.result = *result;
        response.inForce = result->status == CommandStatus::Applied;
        return response;
    }
    response.status =
        absl::IsUnavailable(result.status()) || absl::IsResourceExhausted(result.status())
            ? SubmitStatus::NotRun
            : SubmitStatus::Unknown;
    response.message = std::string(result.status().message());
    return response;
}

auto ControlOperators::zoneProblemOf(const Command &command) -> std::optional<CommandResult>
{
    const auto *body = std::get_if<SetObject>(&command.body);
    const auto *zone = body == nullptr ? nullptr : std::get_if<Zone>(&body->object);
    if (zone == nullptr)
        return std::nullopt;
    const auto status = this->tables.knowsZone(zone->name, this->tables.executor.now());
    if (!absl::IsInvalidArgument(status))
        return std::nullopt;
    return CommandResult{.status = CommandStatus::Invalid,
                         .message = std::string(status.message())};
}

auto ControlOperators::addressOfLeader() const -> std::string
{
    const auto leader = this->tables.hooks.leader();
    if (leader.empty() || leader == this->settings.member)
        return "";
    if (this->settings.membersByIp)
        return withPortOf(leader, this->settings.operatorsAddress);
    for (const auto &member : this->settings.memberOperators) {
        if (member.name == leader)
            return member.address;
    }
    return "";
}

auto ControlOperators::addressOfOtherLeader() const -> std::optional<std::string>
{
    if (this->tables.hooks.isLeaderWithQuorum(this->tables.executor.now()))
        return std::nullopt;
    return this->addressOfLeader();
}

auto ControlOperators::setFrontEnd(
    std::function<auto(const HttpRequest &)->std::optional<HttpResponse>> handler) -> void
{
    this->frontEnd = std::move(handler);
}

auto ControlOperators::status() -> ControlStatus
{
    auto status = ControlStatus();
    status.instance = this->settings.member;
    status.leading = this->tables.hooks.isLeaderWithQuorum(this->tables.executor.now());
    status.leader = status.leading ? this->settings.operatorsAddress : this->addressOfLeader();
    status.term = this->hooks.nodeStatus().term;
    status.revision = this->tables.store.revision();
    status.leases = status.leading ? this->tables.leases.size() : 0;
    return status;
}

auto ControlOperators::listMembers() -> HttpResponse
{
    const auto node = this->hooks.nodeStatus();
    auto members = std::vector<JsonWriter>();
    for (const auto &member : node.members) {
        auto writer = JsonWriter();
        writer.text("member", toString(member.id)).boolean("voter", member.voter);
        writer.integer("match", static_cast<std::int64_t>(member.matchIndex));
        if (member.responseAge)
            writer.integer("answer_age_ms", toMillis(*member.responseAge));
        members.push_back(std::move(writer));
    }
    auto writer = JsonWriter();
    writer.text("self", toString(node.self)).text("role", nameOf(node.role));
    writer.text("leader", node.leader).integer("term", static_cast<std::int64_t>(node.term));
    writer.integer("commit", static_cast<std::int64_t>(node.commitIndex));
    writer.integer("last", static_cast<std::int64_t>(node.lastIndex));
    writer.objects("members", members);
    return jsonResponse(writer);
}

auto ControlOperators::listEntries() -> HttpResponse
{
    const auto now = this->tables.executor.now();
    auto entries = std::vector<JsonWriter>();
    for (const auto &record : this->tables.entries.list(now)) {
        auto writer = JsonWriter();
        writer.text("instance", record.instance).text("zone", record.zone);
        writer.text("operators_address", record.operatorsAddress);
        writer.integer("revision", static_cast<std::int64_t>(record.appliedRevision));
        writer.integer("heard_ms_ago", toMillis(now - record.lastSeenAt));
        entries.push_back(std::move(writer));
    }
    auto writer = JsonWriter();
    writer.objects("entries", entries);
    return jsonResponse(writer);
}

auto ControlOperators::explainFailover(const std::string &group) -> HttpResponse
{
    const auto now = this->tables.executor.now();
    auto records = std::vector<JsonWriter>();
    for (const auto &record : this->tables.failovers.find(group))
        records.push_back(detail::failoverJson(record, now));
    if (const auto current = this->tables.failover.currentRecord(group))
        records.push_back(detail::failoverJson(*current, now));
    auto writer = JsonWriter();
    writer.objects("failovers", records);
    return jsonResponse(writer);
}

auto ControlOperators::reportBurn(const std::string &format) -> HttpResponse
{
    const auto statuses = this->tables.burn.evaluate(this->tables.hooks.wallClock());
    if (format == "text")
        return textResponse(burnText(statuses));
    if (format == "html") {
        return HttpResponse{.body = burnHtml(statuses), .contentType = "text/html; charset=utf-8"};
    }
    auto writer = burnJson(statuses);
    if (format.empty() || format == "json") {
        writer.boolean("leading",
                       this->tables.hooks.isLeaderWithQuorum(this->tables.executor.now()));
        return jsonResponse(writer);
    }
    auto error = JsonWriter();
    error.text("error", "format must be json, text or html, not '" + format + "'");
    return HttpResponse{.status = STATUS_BAD_REQUEST, .body = error.toString()};
}

auto ControlOperators::promote(const HttpRequest &request) -> HttpResponse
{
    auto reader = JsonReader(request.body, "body");
    const auto group = reader.requiredText("group");
    const auto endpoint = reader.requiredText("endpoint");
    auto writer = JsonWriter();
    if (!reader.findings().empty()) {
        writer.text("error", reader.findings().toString());
        return HttpResponse{.status = STATUS_BAD_REQUEST, .body = writer.toString()};
    }
    const auto started =
        this->tables.failover.promotePlanned(group, endpoint, this->tables.executor.now());
    if (started.ok()) {
        writer.text("status", "started");
        return jsonResponse(writer);
    }
    writer.text("error", std::string(started.message()));
    writer.text("leader", this->addressOfLeader());
    return HttpResponse{.status = absl::IsNotFound(started) ? STATUS_NOT_FOUND : STATUS_CONFLICT,
                        .body = writer.toString()};
}

auto ControlOperators::handle(const HttpRequest &request) -> HttpResponse
{
    if (this->frontEnd) {
        if (auto response = this->frontEnd(request))
            return *std::move(response);
    }
    if (auto response = handleOperatorRequest(this->operatorHooks, request))
        return *std::move(response);
    if (auto response = this->losses.handle(request))
        return *std::move(response);
    const auto query = parseTarget(request.target);
    if (query.path == "/healthz")
        return textResponse("ok\n");
    if (query.path == "/readyz") {
        const auto hasLeader = !this->tables.hooks.leader().empty();
        auto response = textResponse(hasLeader ? "ready\n" : "no leader\n");
        response.status = hasLeader ? 200 : STATUS_UNAVAILABLE;
        return response;
    }
    if (query.path == "/v1/members")
        return this->listMembers();
    if (query.path == "/v1/entries")
        return this->listEntries();
    if (query.path == "/v1/explain/failover")
        return this->explainFailover(query.value("group"));
    if (query.path == "/v1/report/burn")
        return this->reportBurn(query.value("format"));
    if (query.path == "/v1/promote" && request.method == "POST")
        return this->promote(request);
    return HttpResponse{.status = STATUS_NOT_FOUND, .body = R"({"error":"unknown path"})"};
}

} // namespace auburnrail
