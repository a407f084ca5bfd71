#ifndef AUBURNRAIL_ROUTING_ENDPOINTTABLE_H
#define AUBURNRAIL_ROUTING_ENDPOINTTABLE_H

#include <routing/CircuitBreaker.h>
#include <routing/ConcurrencyLimit.h>
#include <routing/EndpointChoice.h>
#include <routing/EndpointCriteria.h>
#include <routing/EndpointDescription.h>
#include <routing/EndpointFailure.h>
#include <routing/EndpointObservation.h>
#include <routing/EndpointView.h>
#include <routing/Suspicion.h>

#include <core/RankedMutex.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

namespace detail {

/// One endpoint of an EndpointTable.
struct EndpointEntry
{
    EndpointDescription description;
    CircuitBreaker breaker;
    ConcurrencyLimit limit;
    Position position;
    std::uint64_t observedTerm = 0;
    bool saysLeaving = false;
    std::uint32_t inFlight = 0;
    Duration responseTime{};
    std::optional<TimePoint> measuredAt; ///< Last change of responseTime.
    std::optional<TimePoint> lastSeen;
    std::optional<TimePoint> dataTime;
    std::optional<TimePoint> lastObserved; ///< Send time of the latest exchange recorded.
    std::optional<TimePoint> lastProbe;
    std::optional<TimePoint> firstFailure; ///< Since the last answer.
    int failures = 0;                      ///< Since the last answer.
};

} // namespace detail

/// The endpoints that an entry serves, with their measured health, and the choice among them.
/// Safe from any thread. Times are of this process's monotonic clock.
class EndpointTable
{
public:
    /// An endpoint that has not answered for this long gets no new work.
    static constexpr auto SILENCE_LIMIT_MS = std::chrono::milliseconds(2500);
    static constexpr auto PROBE_INTERVAL_MS = std::chrono::milliseconds(500);
    /// A response time that is not measured again counts half after this long, so that an endpoint
    /// that was slow once is tried again.
    static constexpr auto RESPONSE_TIME_HALF_LIFE_MS = std::chrono::milliseconds(1000);
    /// One lost exchange is not a suspicion: links between zones lose some.
    static constexpr auto SUSPECT_AFTER_FAILURES = 2;

    /// `zone` is the entry's own; without `choice` the default, makeLeastLoadedOfTwo(), is used.
    /// Replicas in other zones are probed once in `farProbeInterval`.
    explicit EndpointTable(std::string zone, EndpointChoice choice = {},
                           Duration farProbeInterval = PROBE_INTERVAL_MS);

    /// Replaces the known endpoints by `endpoints`; what was measured of those that stay is kept.
    auto updateFromState(const std::vector<EndpointDescription> &endpoints) -> void;

    /// Records an answer, also one that refuses. Does nothing for an unknown endpoint.
    auto recordAnswer(std::string_view endpoint, const EndpointObservation &observation,
                      TimePoint now) -> void;
    auto recordFailure(std::string_view endpoint, EndpointFailure failure, TimePoint now) -> void;

    /// Stops new work to the endpoint until an answer of it says that it is not leaving.
    auto markLeaving(std::string_view endpoint) -> void;

    /// Counts an exchange or a pinned connection in flight; end() counts it out.
    auto begin(std::string_view endpoint) -> void;
    auto end(std::string_view endpoint) -> void;

    /// Endpoints that may get the work at `now`, by name.
    [[nodiscard]] auto eligible(const EndpointCriteria &criteria, TimePoint now)
        -> std::vector<EndpointView>;

    /// One eligible endpoint, or nothing when there is none.
    [[nodiscard]] auto choose(const EndpointCriteria &criteria, std::uint64_t randomValue,
                              TimePoint now) -> std::optional<EndpointView>;

    /// The endpoint, eligible or not.
    [[nodiscard]] auto find(std::string_view endpoint, TimePoint now)
        -> std::optional<EndpointView>;

    /// Endpoints to probe now; each is listed at most once in PROBE_INTERVAL_MS.
    [[nodiscard]] auto probeDue(TimePoint now) -> std::vector<EndpointView>;

    /// Primaries without an answer since SUSPECT_AFTER_FAILURES failures.
    [[nodiscard]] auto suspicions() -> std::vector<Suspicion>;

private:
    std::string zone;
    EndpointChoice choice;
    Duration farProbeInterval;
    RankedMutex mutex{LockRank::EndpointTable};
    std::map<std::string, detail::EndpointEntry, std::less<>> entries ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
