#ifndef AUBURNRAIL_STANDIN_STANDINFAULTS_H
#define AUBURNRAIL_STANDIN_STANDINFAULTS_H

#include <endpoint/FaultCommand.h>
#include <http/HttpRequest.h>
#include <http/HttpResponse.h>
#include <request/EndpointResponse.h>

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>
#include <core/Time.h>

#include <cstdint>
#include <set>
#include <string>

namespace auburnrail {

/// Faults of one emulated server, set by command, and the waits that they cause. Waits end at once
/// after stop(). Safe from any thread.
class StandInFaults
{
public:
    /// Start values of the lag of replicated entries and of the delay of each exchange.
    StandInFaults(Duration startLag, Duration startDelay);

    /// Sets a fault. Crash, Reset and Leaving are not kept here.
    auto apply(const FaultCommand &command) -> void;

    /// Holds the exchange of `peer` while the server is frozen, and for its delay. False when the
    /// peer is cut off, or the server stopped; the exchange must not run then. An exchange that was
    /// held by a freeze alone runs when the freeze ends, whatever happens to its peer afterwards.
    [[nodiscard]] auto admit(const std::string &peer) -> bool;

    /// Exchanges that admit() holds now, because of a freeze or a cut.
    [[nodiscard]] auto heldExchanges() const -> std::size_t;

    /// Holds an answer while the server is frozen.
    auto holdWhileFrozen() -> void;

    /// True when no message passes to or from `peer`: the server is frozen or the peer cut off.
    [[nodiscard]] auto isSilentTo(const std::string &peer) const -> bool;

    /// Applies late, crossed and truncated answers to an answer that is ready.
    [[nodiscard]] auto distort(const EndpointResponse &answer) -> HttpResponse;

    /// Waits for `length`, for example while a connection opens.
    auto pause(Duration length) -> void;

    /// Counts changes of the database; waitForChange() returns once it differs from `seen`, at the
    /// deadline or after stop(), which answer false.
    auto notifyChange() -> void;
    [[nodiscard]] auto changes() const -> std::uint64_t;
    [[nodiscard]] auto waitForChange(std::uint64_t seen, TimePoint deadline) -> bool;

    /// Keeps the request when recording is on, up to a limit of bytes.
    auto record(const HttpRequest &request) -> void;
    [[nodiscard]] auto received() const -> std::string;

    [[nodiscard]] auto lag() const -> Duration;

    auto stop() -> void;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto isCut(const std::string &peer) const -> bool;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto waitUntil(TimePoint deadline) -> void;

    mutable RankedMutex mutex{LockRank::StandInServer};
    RankedCondition changed;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool frozen ABSL_GUARDED_BY(mutex) = false;
    std::size_t held ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t resumptions ABSL_GUARDED_BY(mutex) = 0; ///< Freezes that have ended.
    bool recording ABSL_GUARDED_BY(mutex) = false;
    std::set<std::string> cutPeers ABSL_GUARDED_BY(mutex);
    std::int64_t lateAnswers ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t crossedAnswers ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t truncatedAnswers ABSL_GUARDED_BY(mutex) = 0;
    Duration lateness ABSL_GUARDED_BY(mutex){};
    Duration replicationLag ABSL_GUARDED_BY(mutex);
    Duration exchangeDelay ABSL_GUARDED_BY(mutex);
    EndpointResponse previous ABSL_GUARDED_BY(mutex);
    std::uint64_t changeCount ABSL_GUARDED_BY(mutex) = 0;
    std::string recorded ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
