#ifndef AUBURNRAIL_LOAD_LOADACCOUNTING_H
#define AUBURNRAIL_LOAD_LOADACCOUNTING_H

#include <load/LoadProfile.h>
#include <load/LoadReport.h>
#include <load/LoadResult.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Counts what a run sent and what came back, and finds broken promises. Times are since the start
/// of the run. Safe from any thread.
class LoadAccounting
{
public:
    explicit LoadAccounting(LoadProfile loadProfile);

    /// Counts the start of a planned request at `at`.
    auto began(const PlannedRequest &request, Duration at) -> void;

    /// Counts one exchange, of which a transaction has several and a resent write has more than
    /// one. True when its organisation has sent no more exchanges than burst + rate x time, so that
    /// a refusal for its rate is wrongful.
    auto sent(const PlannedRequest &request, Duration at) -> bool;

    /// Counts the end of a request; to be called once for each began().
    auto ended(const LoadResult &result) -> void;

    /// Takes the final values of a session, read back after the run: `value` of its key, and
    /// `pairValue` of the key that only its transactions write to. Nothing: could not be read.
    auto verify(std::size_t session, const std::optional<std::string> &value,
                const std::optional<std::string> &pairValue) -> void;

    /// The figures of a run that lasted `length`.
    [[nodiscard]] auto report(Duration length) const -> LoadReport;

private:
    struct Organisation
    {
        std::uint64_t sent = 0;
        std::uint64_t exchanges = 0;
        std::uint64_t served = 0;
    };

    struct Service
    {
        std::uint64_t outstanding = 0;
        std::optional<Duration>
            waitingSince; ///< Of the first write sent since the last one served.
        Duration longestGap{};
    };

    struct Write
    {
        std::uint64_t id;
        LoadKind kind;
        Outcome outcome;
    };

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto endWrite(const LoadResult &result) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto servedShare(std::size_t organisation, Duration length) const -> double;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto latencies() const -> std::map<std::string, double>;

    LoadProfile profile;
    mutable RankedMutex mutex{LockRank::Metrics};
    LoadReport totals ABSL_GUARDED_BY(mutex);
    std::vector<Organisation> organisations ABSL_GUARDED_BY(mutex);
    std::vector<Service> services ABSL_GUARDED_BY(mutex);
    std::map<std::size_t, std::vector<Write>> writes ABSL_GUARDED_BY(mutex); ///< By session.
    std::uint64_t servedReads ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t replicaReads ABSL_GUARDED_BY(mutex) = 0;
    std::vector<Duration> servedLatencies ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
