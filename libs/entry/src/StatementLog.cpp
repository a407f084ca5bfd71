#include <entry/StatementLog.h>

#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>

#include <chrono>

namespace auburnrail {

namespace {

auto countOf(Metrics &metrics, std::string_view outcome) -> MetricId
{
    return metrics.series(MetricKind::Counter, "auburnrail_statements_total",
                          "Statements of sessions that ended, by outcome.",
                          {{"outcome", std::string(outcome)}});
}

auto countsOfErrors(Metrics &metrics) -> std::array<MetricId, ENUM_NAMES<StatementError>.size()>
{
    auto counts = std::array<MetricId, ENUM_NAMES<StatementError>.size()>();
    for (const auto &row : ENUM_NAMES<StatementError>)
        counts.at(static_cast<std::size_t>(row.value)) = countOf(metrics, row.name);
    return counts;
}

} // namespace

StatementLog::StatementLog(Metrics &entryMetrics)
    : metrics(entryMetrics)
    , served(countOf(entryMetrics, "ok"))
    , failed(countsOfErrors(entryMetrics))
    , seconds(entryMetrics.series(MetricKind::Distribution, "auburnrail_statement_seconds",
                                  "Time from the arrival of a statement to its answer."))
{
}

auto StatementLog::add(const StatementReport &report) -> void
{
    this->metrics.add(report.failure
                          ? this->failed.at(static_cast<std::size_t>(report.failure->error))
                          : this->served);
    this->metrics.record(this->seconds, std::chrono::duration<double>(report.duration).count());
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
    if (!report.failure) {
        logLine(LogLevel::Info, "session", "statement served", fields);
        return;
    }
    fields.emplace_back("error", std::string(nameOf(report.failure->error)));
    fields.emplace_back("detail", report.failure->detail);
    logLine(LogLevel::Warning, "session", "statement failed", fields);
}

} // namespace auburnrail
