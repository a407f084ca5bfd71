#ifndef AUBURNRAIL_DAEMON_LOGBUDGET_H
#define AUBURNRAIL_DAEMON_LOGBUDGET_H

#include <daemon/LogLevel.h>
#include <daemon/LogOmissions.h>

#include <core/RankedMutex.h>
#include <core/TokenBucket.h>

#include <absl/base/thread_annotations.h>

#include <optional>

namespace auburnrail {

/// Bounds how many lines a process writes. Load pattern: a flood of refusals, or a dependency that
/// is away, in which the lines cost more than the work. Routine lines leave a reserve for failures,
/// so they are omitted first. Safe from any thread.
class LogBudget
{
public:
    /// A line takes about 20 us, so this is 0.2 % of a core.
    static constexpr auto LINES_PER_SECOND = 100.0;
    static constexpr auto LINES_AT_ONCE = 300.0;
    /// Lines at once that only failures may use.
    static constexpr auto FAILURE_RESERVE = 150.0;

    explicit LogBudget(TimePoint now);

    /// Nothing when the line has to be omitted; else what was omitted before it.
    [[nodiscard]] auto admit(LogLevel level, TimePoint now) -> std::optional<LogOmissions>;

private:
    RankedMutex mutex{LockRank::LogBudget};
    TokenBucket budget ABSL_GUARDED_BY(mutex);
    LogOmissions omissions ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
