#include <entry/StatementLog.h>

#include <daemon/Logging.h>

#include <core/RankedLock.h>

#include <absl/strings/str_cat.h>

#include <chrono>
#include <utility>

namespace auburnrail {

StatementLog::StatementLog(Metrics &entryMetrics, TimePoint now)
    : metrics(entryMetrics)
    , budget(LINES_PER_SECOND, LINES_AT_ONCE, now)
{
}

auto StatementLog::add(const StatementReport &report, TimePoint now) -> void
{
    this->count(report);
    if (!report.failure)
        return;
    auto omitted = std::uint64_t(0);
    {
        const RankedLock lock(this->mutex);
        if (!this->budget.tryTake(now)) {
            ++this->leftOut;
            return;
        }
        omitted = std::exchange(this->leftOut, 0);
    }
    const auto position = report.position.value_or(Position());
    logLine(LogLevel::Info, "session", "statement failed",
            {{"request", report.id},
             {"statement", std::string(nameOf(report.kind))},
             {"database", report.database},
             {"organisation", report.organisation},
             {"endpoint", report.endpoint},
             {"attempts", absl::StrCat(report.attempts)},
             {"error", std::string(nameOf(report.failure->error))},
             {"detail", report.failure->detail},
             {"position", absl::StrCat(position.term, ".", position.index)},
             {"revision", absl::StrCat(report.revision)},
             {"ms", absl::StrCat(toMillis(report.duration))},
             {"left_out", absl::StrCat(omitted)}});
}

auto StatementLog::count(const StatementReport &report) -> void
{
    const auto outcome =
        report.failure ? std::string(nameOf(report.failure->error)) : std::string("ok");
    const auto statements = this->metrics.series(MetricKind::Counter, "auburnrail_statements_total",
                                                 "Statements of sessions that ended, by outcome.",
                                                 {{"outcome", outcome}});
    this->metrics.add(statements);
    const auto seconds =
        this->metrics.series(MetricKind::Distribution, "auburnrail_statement_seconds",
                             "Time from the arrival of a statement to its answer.");
    this->metrics.record(seconds, std::chrono::duration<double>(report.duration).count());
}

} // namespace auburnrail
