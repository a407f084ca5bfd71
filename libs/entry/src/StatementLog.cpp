#include <entry/StatementLog.h>

#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>

#include <chrono>

namespace auburnrail {

namespace {

constexpr auto COUNTER_NAME = "auburnrail_statements_total";
constexpr auto COUNTER_HELP = "Statements of sessions that ended, by outcome.";

auto fieldsOf(const StatementReport &report) -> LogFields
{
    auto fields = LogFields{{"request", report.id},
                            {"statement", std::string(nameOf(report.kind))},
                            {"database", report.database},
                            {"organisation", report.organisation},
                            {"endpoint", report.endpoint},
                            {"attempts", absl::StrCat(report.attempts)},
                            {"revision", absl::StrCat(report.revision)},
                            {"ms", absl::StrCat(toMillis(report.duration))}};
    if (report.position)
        fields.emplace_back("position",
                            absl::StrCat(report.position->term, ".", report.position->index));
    if (report.failure) {
        fields.emplace_back("error", std::string(nameOf(report.failure->error)));
        fields.emplace_back("detail", report.failure->detail);
    }
    return fields;
}

} // namespace

StatementLog::StatementLog(Metrics &entryMetrics)
    : metrics(entryMetrics)
    , served(
          entryMetrics.series(MetricKind::Counter, COUNTER_NAME, COUNTER_HELP, {{"outcome", "ok"}}))
    , failed(entryMetrics, COUNTER_NAME, COUNTER_HELP)
    , seconds(entryMetrics.series(MetricKind::Distribution, "auburnrail_statement_seconds",
                                  "Time from the arrival of a statement to its answer."))
{
}

auto StatementLog::add(const StatementReport &report) -> void
{
    if (report.failure)
        this->failed.add(report.failure->error);
    else
        this->metrics.add(this->served);
    this->metrics.record(this->seconds, std::chrono::duration<double>(report.duration).count());
    logComposedLine(report.failure ? LogLevel::Warning : LogLevel::Info, "session",
                    report.failure ? "statement failed" : "statement served",
                    [&report] { return fieldsOf(report); });
}

} // namespace auburnrail
