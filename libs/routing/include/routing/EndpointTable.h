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

#include <core/DecayingAverage.h>
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
    bool reportsLeaving = false;
    std::uint32_t inFlight = 0;
    DecayingAverage responseTime;
    std::optional<TimePoint> lastSeen;
    std::optional<TimePoint> dataTime;
    std::optional<TimePoint> lastObserved; ///< Send time of the latest recorded exchange.
    std::optional<TimePoint> lastProbe;
    std::optional<TimePoint> evacuatedAt;  ///< When this entry learned of it.
    std::optional<TimePoint> firstFailure; ///< Since the last response.
    int failures = 0;                      ///< Since the last response.
};

} // namespace detail

/// The endpoints known to an entry with their measured health; selects endpoints for requests.
/// Thread-safe. Times are on this process's monotonic clock.
class EndpointTable
{
public:
    /// An endpoint that has not responded for this long gets no new requests.
    static constexpr auto UNRESPONSIVE_AFTER_MS = std::chrono::milliseconds(2500);
    static constexpr auto PROBE_INTERVAL_MS = std::chrono::milliseconds(500);
    /// Interval between two probes that one endpoint gets from all entries together. Entries probe
    /// less often the more of them there are.
    static constexpr auto PROBE_SPACING_MS = std::chrono::milliseconds(25);
    /// An endpoint counts as responsive for this long beyond its probe interval, if that is more.
    static constexpr auto PROBE_GRACE_MS = std::chrono::milliseconds(2000);
    /// A single lost exchange raises no suspicion, because some are lost between zones.
    static constexpr auto SUSPECT_AFTER_FAILURES = 2;

    /// A primary in an evacuated zone gets new work for this long, until another endpoint takes
    /// over. Covers a planned promotion, so that callers notice none of it.
    static constexpr auto EVACUATED_PRIMARY_MS = std::chrono::milliseconds(2000);

    /// Transactions at an endpoint of an evacuated zone may go on for this long.
    static constexpr auto EVACUATED_TRANSACTION_MS = std::chrono::milliseconds(3000);

    /// `zone` is the entry's own zone. `choice` defaults to makeLeastLoadedOfTwo(). Replicas in
    /// other zones are probed once per `crossZoneProbeInterval`.
    explicit EndpointTable(std::string zone, EndpointChoice choice = {},
                           Duration crossZoneProbeInterval = PROBE_INTERVAL_MS);

    /// Replaces the known endpoints by `endpoints`, keeping measurements of those that remain.
    auto updateFromState(const std::vector<EndpointDescription> &endpoints, TimePoint now) -> void;

    /// Records a response, including a refusal. Does nothing for an unknown endpoint.
    auto recordResponse(std::string_view endpoint, const EndpointObservation &observation,
                        TimePoint now) -> void;
    auto recordFailure(std::string_view endpoint, EndpointFailure failure, TimePoint now) -> void;

    /// Stops new requests to the endpoint until it reports in a response that it is not leaving.
    auto markLeaving(std::string_view endpoint) -> void;

    /// Counts an exchange or a pinned connection as in flight until end() is called for it.
    auto begin(std::string_view endpoint) -> void;
    auto end(std::string_view endpoint) -> void;

    /// Endpoints that may get the request at `now`, sorted by name.
    [[nodiscard]] auto eligible(const EndpointCriteria &criteria, TimePoint now)
        -> std::vector<EndpointView>;

    /// Chooses one eligible endpoint; nothing when there is none.
    [[nodiscard]] auto choose(const EndpointCriteria &criteria, std::uint64_t randomValue,
                              TimePoint now) -> std::optional<EndpointView>;

    /// Chooses one of `views`; nothing when there is none.
    [[nodiscard]] auto chooseAmong(std::vector<EndpointView> views, std::uint64_t randomValue) const
        -> std::optional<EndpointView>;

    /// Returns the endpoint, eligible or not; nothing when it is unknown.
    [[nodiscard]] auto find(std::string_view endpoint, TimePoint now)
        -> std::optional<EndpointView>;

    /// Sets how many entries probe the endpoints.
    auto setEntryCount(std::size_t count) -> void;

    /// Endpoints to probe now, and marks them as probed. Each is returned at most once per
    /// PROBE_INTERVAL_MS, and less often in a large fleet unless its last exchange failed.
    [[nodiscard]] auto probeDue(TimePoint now) -> std::vector<EndpointView>;

    /// Primaries with at least SUSPECT_AFTER_FAILURES failures since their last response.
    [[nodiscard]] auto suspicions() -> std::vector<Suspicion>;

private:
    std::string zone;
    EndpointChoice choice;
    Duration crossZoneProbeInterval;
    RankedMutex mutex{LockRank::EndpointTable};
    /// How often an endpoint without failures is probed.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto probeInterval(const detail::EndpointEntry &entry) const -> Duration;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto unresponsiveAfter(const detail::EndpointEntry &entry) const -> Duration;

    std::map<std::string, detail::EndpointEntry, std::less<>> entries ABSL_GUARDED_BY(mutex);
    std::size_t entryCount ABSL_GUARDED_BY(mutex) = 1;
};

} // namespace auburnrail

#endif
