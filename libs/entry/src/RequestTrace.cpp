#include <entry/RequestTrace.h>

#include <daemon/Logging.h>

#include <core/WallClock.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace auburnrail {

namespace {

/// Reasons that are not failures of the system: the caller's own errors and its limits.
constexpr auto CALLER_REASONS = std::to_array<ReasonCode>({
    ReasonCode::Completed,
    ReasonCode::StatementFailed,
    ReasonCode::MalformedRequest,
    ReasonCode::BodyTooLarge,
    ReasonCode::UnknownPath,
    ReasonCode::UnknownService,
    ReasonCode::KeyMissing,
    ReasonCode::KeyUnknown,
    ReasonCode::KeyWithdrawn,
    ReasonCode::RouteDenied,
    ReasonCode::RateLimited,
    ReasonCode::IdempotencyConflict,
    ReasonCode::TransactionUnknown,
    ReasonCode::TransactionElsewhere,
    ReasonCode::TransactionBusy,
});

auto isSystemFailure(ReasonCode reason) -> bool
{
    return std::find(CALLER_REASONS.begin(), CALLER_REASONS.end(), reason) == CALLER_REASONS.end();
}

auto describe(const RequestRecord &record) -> std::string
{
    auto text = record.detail;
    if (!record.endpoint.empty())
        absl::StrAppend(&text, " endpoint=", record.endpoint);
    absl::StrAppend(&text, " term=", record.term, " position=", record.position.term, ".",
                    record.position.index, record.lease ? " leased" : " no-lease");
    return text;
}

} // namespace

RequestTrace::RequestTrace(const CallerRequest &request, TimePoint receivedAt)
    : requestId(request.requestId)
    , service(request.service)
    , startedAt(receivedAt)
{
}

auto RequestTrace::add(RequestRecord record) -> void
{
    if (!record.organisation.empty())
        this->organisation = record.organisation;
    this->records.push_back(std::move(record));
}

auto RequestTrace::explain(const CallerResponse &response, std::int64_t nowMillis) const
    -> ExplainRecord
{
    auto record = ExplainRecord();
    const auto isRefusal = response.outcome == Outcome::NotRun;
    record.kind = isRefusal ? ExplainKind::Refusal : ExplainKind::Request;
    record.id = this->requestId;
    record.organisation = this->organisation;
    record.service = this->service;
    record.atMillis = nowMillis;
    record.decision = std::string(nameOf(response.outcome));
    record.reason = response.reason;
    for (const auto &step : this->records)
        record.facts.push_back(ExplainFact{std::string(nameOf(step.step)), describe(step)});
    return record;
}

auto RequestTrace::finish(const CallerResponse &response, EntryTables &tables) -> void
{
    const auto latency = tables.executor.now() - this->startedAt;
    const auto nowMillis = systemWallClockMillis();
    tables.explain.record(this->explain(response, nowMillis));
    tables.burn.recordRequest(RequestSample{.service = this->service,
                                            .organisation = this->organisation,
                                            .reason = response.reason,
                                            .failed = isSystemFailure(response.reason),
                                            .wrongful = false,
                                            .latency = latency},
                              nowMillis);
    tables.countRequest(response, latency);
    if (response.reason == ReasonCode::Completed)
        return;
    logLine(LogLevel::Warning, "request", response.message,
            {{"request", this->requestId},
             {"organisation", this->organisation},
             {"service", this->service},
             {"outcome", std::string(nameOf(response.outcome))},
             {"reason", std::string(nameOf(response.reason))}});
}

} // namespace auburnrail
