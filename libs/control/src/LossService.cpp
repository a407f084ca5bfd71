#include <control/LossService.h>

#include <control/PossibleLoss.h>

#include "FailoverLines.h"

#include <core/PositionText.h>
#include <daemon/Logging.h>
#include <http/JsonReader.h>
#include <http/JsonWriter.h>
#include <http/QueryString.h>

#include <cassert>
#include <utility>
#include <vector>

namespace auburnrail {

namespace {

constexpr auto STATUS_BAD_REQUEST = 400;
constexpr auto STATUS_NOT_FOUND = 404;
constexpr auto STATUS_CONFLICT = 409;
constexpr auto STATUS_UNAVAILABLE = 503;

auto respond(const JsonWriter &writer, int status) -> HttpResponse
{
    return HttpResponse{.status = status, .headers = {}, .body = writer.toString()};
}

auto statusOf(LossDecision decision) -> int
{
    switch (decision) {
    case LossDecision::Accepted:
        return 200;
    case LossDecision::NotFenced:
        return STATUS_NOT_FOUND;
    case LossDecision::NotWaiting:
    case LossDecision::OtherPosition:
        break;
    }
    return STATUS_CONFLICT;
}

auto endpointJson(const PromotionEvidence &evidence, const FenceEvidence &fenced) -> JsonWriter
{
    const auto loss = possibleLoss(evidence, fenced.position);
    const auto entries = loss.entries();
    auto writer = JsonWriter();
    writer.text("endpoint", fenced.endpoint).text("position", positionText(fenced.position));
    if (entries)
        writer.integer("lacks_entries", static_cast<std::int64_t>(*entries));
    writer.boolean("rebuilding", fenced.rebuilding);
    writer.text("may_lose", loss.toText());
    return writer;
}

} // namespace

LossService::LossService(LossServiceHooks serviceHooks)
    : hooks(std::move(serviceHooks))
{
    assert(this->hooks.now && this->hooks.isLeading && this->hooks.leader
           && this->hooks.waitingEvidence && this->hooks.currentRecord && this->hooks.acceptLoss
           && this->hooks.decided && "all hooks must be set");
}

auto LossService::handle(const HttpRequest &request) const -> std::optional<HttpResponse>
{
    const auto query = parseTarget(request.target);
    if (query.path == "/v1/loss" && request.method == "GET")
        return this->show(query.value("group"));
    if (query.path == "/v1/accept-loss" && request.method == "POST")
        return this->accept(request);
    return std::nullopt;
}

auto LossService::show(const std::string &group) const -> HttpResponse
{
    if (!this->hooks.isLeading())
        return this->refuseWithoutLeadership();
    const auto now = this->hooks.now();
    const auto evidence = this->hooks.waitingEvidence(group, now);
    auto writer = JsonWriter();
    writer.text("group", group).boolean("waits", evidence.has_value());
    if (!evidence)
        return respond(writer, 200);
    const auto record = this->hooks.currentRecord(group);
    if (record && record->waiting)
        writer.integer("waited_ms", toMillis(now - record->waiting->since));
    writer.integer("term", static_cast<std::int64_t>(evidence->term));
    writer.text("old_primary", evidence->oldPrimary);
    detail::writeAcknowledged(*evidence, writer);
    auto endpoints = std::vector<JsonWriter>();
    for (const auto &fenced : evidence->fenced)
        endpoints.push_back(endpointJson(*evidence, fenced));
    writer.objects("endpoints", endpoints).texts("not_fenced", evidence->notFenced);
    writer.boolean("processes_known", evidence->areProcessesKnown);
    writer.texts("ended_processes", evidence->ended);
    writer.texts("unidentified", evidence->unidentified);
    return respond(writer, 200);
}

auto LossService::accept(const HttpRequest &request) const -> HttpResponse
{
    auto reader = JsonReader(request.body, "body");
    const auto group = reader.requiredText("group");
    const auto endpoint = reader.requiredText("endpoint");
    const auto position = reader.requiredText("position");
    const auto operatorName = reader.text("operator");
    const auto parsed = parsePositionText(position);
    if (!parsed && !position.empty())
        reader.fault("position", "must be TERM.INDEX");
    auto writer = JsonWriter();
    if (!reader.findings().empty()) {
        writer.text("error", reader.findings().toString());
        return respond(writer, STATUS_BAD_REQUEST);
    }
    if (!this->hooks.isLeading())
        return this->refuseWithoutLeadership();
    const auto now = this->hooks.now();
    // Read before, since the failover no longer waits afterwards.
    const auto evidence = this->hooks.waitingEvidence(group, now);
    const auto status = this->hooks.acceptLoss(group, AcceptedLoss{endpoint, *parsed}, now);
    const auto decision = lossDecision(status);
    const auto loss = possibleLoss(evidence.value_or(PromotionEvidence()), *parsed);
    this->hooks.decided(decision);
    logLine(LogLevel::Warning, "failover",
            status.ok() ? "loss accepted by an operator" : "decision of an operator refused",
            {{"group", group},
             {"term", evidence ? std::to_string(evidence->term) : ""},
             {"endpoint", endpoint},
             {"position", position},
             {"operator", operatorName},
             {"outcome", std::string(nameOf(decision))},
             {"acknowledged", evidence ? detail::acknowledgedText(*evidence) : "unknown"},
             {"may_lose", status.ok() ? loss.toText() : ""}});
    if (status.ok()) {
        writer.text("status", nameOf(decision)).text("may_lose", loss.toText());
    } else {
        writer.text("error", std::string(status.message()));
        writer.text("outcome", nameOf(decision));
    }
    return respond(writer, statusOf(decision));
}

auto LossService::refuseWithoutLeadership() const -> HttpResponse
{
    auto writer = JsonWriter();
    writer.text("error", "this member does not lead").text("leader", this->hooks.leader());
    return respond(writer, STATUS_UNAVAILABLE);
}

} // namespace auburnrail
