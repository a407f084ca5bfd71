#ifndef AUBURNRAIL_STANDIN_STANDINDATABASE_H
#define AUBURNRAIL_STANDIN_STANDINDATABASE_H

#include <standin/StandInDatabaseSettings.h>
#include <standin/StandInLog.h>
#include <standin/StandInPull.h>
#include <standin/StandInRole.h>
#include <standin/StandInSession.h>

#include <endpoint/LogResponse.h>
#include <failover/FenceResponse.h>
#include <failover/GroupEndpoint.h>
#include <request/EndpointRequest.h>
#include <request/EndpointResponse.h>

#include <core/RankedMutex.h>
#include <core/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// One emulated database server of a group: roles, terms, log, transactions and connection limit.
/// Decisions only; the time is passed in and nothing blocks, so that tests run groups of it in
/// memory. An operation of another term than the known one is refused; only fence, promote and
/// follow raise the term. Safe from any thread.
class StandInDatabase
{
public:
    explicit StandInDatabase(StandInDatabaseSettings databaseSettings);

    /// Runs one operation of the endpoint protocol on `connection` and describes the state after
    /// it. Connect, and Execute or Begin on a connection without session, open its session. Await
    /// answers Behind at once when the position is not reached; the caller waits.
    [[nodiscard]] auto run(std::uint64_t connection, const EndpointRequest &request, TimePoint now)
        -> EndpointResponse;

    /// True when the connection has a database session, which counts against the limit.
    [[nodiscard]] auto isConnected(std::uint64_t connection) const -> bool;

    /// The connection is gone: its transaction is rolled back.
    auto closed(std::uint64_t connection) -> void;

    /// Raises the term; a primary stops to be one. Refused for a lower term, and for the term in
    /// which this server is primary, so that a repeated fence can't end a promotion. In a term that
    /// is known already it changes nothing.
    [[nodiscard]] auto fence(std::uint64_t newTerm, TimePoint now) -> FenceResponse;

    /// Becomes primary and starts the term with an entry of its own, so that a later fence ranks
    /// this log over those that hold only earlier terms. True also when it is primary of the term
    /// already.
    [[nodiscard]] auto promote(std::uint64_t newTerm, TimePoint now) -> bool;

    /// Becomes a replica of `source`. False for a lower term and in a term in which it is primary.
    [[nodiscard]] auto follow(std::uint64_t newTerm, const GroupEndpoint &source, TimePoint now)
        -> bool;

    /// Answers the pull of a replica.
    [[nodiscard]] auto serveLog(const LogRequest &request) const -> LogResponse;

    /// The next pull, when this server is a replica with a source.
    [[nodiscard]] auto nextPull() const -> std::optional<StandInPull>;

    /// Takes the answer to a pull that was sent at `sentAt`. Answers that no longer fit are
    /// dropped.
    auto takeLog(const LogResponse &answer, TimePoint sentAt) -> void;

    /// Loses everything, as a server that is rebuilt: fenced in term 0 without data.
    auto reset() -> void;
    auto setLeaving(bool isLeaving) -> void;

private:
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto checkTerm(const EndpointRequest &request) const -> EndpointRefusal;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto checkRole(const EndpointRequest &request) const -> EndpointRefusal;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto open(std::uint64_t connection) -> EndpointRefusal;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto perform(std::uint64_t connection, const EndpointRequest &request, EndpointResponse &answer)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto execute(StandInSession &session, const EndpointRequest &request, EndpointResponse &answer)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto commit(StandInSession &session, const EndpointRequest &request, EndpointResponse &answer)
        -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto write(const EndpointRequest &request, std::vector<std::string> statements,
               std::string result, EndpointResponse &answer) -> void;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto enterTerm(std::uint64_t newTerm, StandInRole newRole, TimePoint now) -> void;

    StandInDatabaseSettings settings;
    mutable RankedMutex mutex{LockRank::StandInServer};
    StandInLog log ABSL_GUARDED_BY(mutex);
    StandInRole role ABSL_GUARDED_BY(mutex) = StandInRole::Fenced;
    std::uint64_t term ABSL_GUARDED_BY(mutex) = 0;
    Position termStart ABSL_GUARDED_BY(mutex); ///< Entry that started the term; set at a primary.
    GroupEndpoint source ABSL_GUARDED_BY(mutex);
    /// When the data were last known to be complete; nothing when never.
    std::optional<TimePoint> freshAt ABSL_GUARDED_BY(mutex);
    /// Started without data, and not caught up with a primary since.
    bool rebuilding ABSL_GUARDED_BY(mutex) = true;
    bool leaving ABSL_GUARDED_BY(mutex) = false;
    std::map<std::uint64_t, StandInSession> sessions ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
