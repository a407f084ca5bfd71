#ifndef AUBURNRAIL_STANDIN_STANDINREPLICATOR_H
#define AUBURNRAIL_STANDIN_STANDINREPLICATOR_H

#include <standin/StandInDatabase.h>
#include <standin/StandInFaults.h>

#include <core/Executor.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace auburnrail {

/// Pulls the log of the primary while the database is a replica. One pull is under way at a time;
/// each waits at the source for new entries. Safe from any thread.
class StandInReplicator
{
public:
    /// All must outlive the executor's tasks.
    StandInReplicator(StandInDatabase &pulledDatabase, StandInFaults &serverFaults,
                      Executor serverExecutor, Duration pullWait);

    /// Starts to pull, from the database's current source. Pulls of an earlier source end.
    auto restart() -> void;

private:
    struct Source;

    auto pull(const std::shared_ptr<Source> &source) -> void;
    auto finish(const std::shared_ptr<Source> &source, const LogResponse &answer, TimePoint sentAt)
        -> void;
    auto again(const std::shared_ptr<Source> &source, Duration delay) -> void;

    StandInDatabase &database;
    StandInFaults &faults;
    Executor executor;
    Duration wait;
    std::atomic<std::uint64_t> generation{0};
};

} // namespace auburnrail

#endif
