#ifndef AUBURNRAIL_CONTROL_DETAIL_RUNNERSTATE_H
#define AUBURNRAIL_CONTROL_DETAIL_RUNNERSTATE_H

#include "EffectQueue.h"

#include <control/ConsensusRunnerHooks.h>
#include <control/DurableStore.h>

#include <consensus/ConsensusNode.h>

#include <core/Executor.h>
#include <core/RandomSource.h>
#include <core/RankedCondition.h>
#include <core/RankedMutex.h>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// State that a ConsensusRunner shares with its timer, because a scheduled tick may outlive the
/// runner. The node is called with the lock held; its effects are queued and run without it, in
/// order.
class RunnerState : public std::enable_shared_from_this<RunnerState>
{
public:
    RunnerState(ConsensusSettings nodeSettings, ConsensusRunnerHooks runnerHooks,
                Executor runnerExecutor, Executor writeExecutor, RandomSource randomSource);

    auto start(DurableStore opened) -> absl::Status;
    auto stop() -> void;
    auto receive(const Message &message) -> void;
    auto propose(std::string payload) -> absl::StatusOr<LogIndex>;
    auto isLeaderWithQuorum() -> bool;
    auto status() -> NodeStatus;

private:
    auto tick() -> void;
    auto scheduleWrite(std::shared_ptr<const PersistBatch> batch, Duration delay) -> void;
    /// Writes the batch under way, and schedules another attempt after an error.
    auto write(const std::shared_ptr<const PersistBatch> &batch) -> void;
    /// Queues a diskChanged call if the disk has become blocked or works again.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto checkDisk(TimePoint now) -> void;
    auto storeSnapshot(LogIndex index) -> void;
    auto runEffects() -> void;
    auto takeEffect() -> std::optional<Task>;
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) auto nodeHooks() -> ConsensusHooks;

    ConsensusSettings settings;
    const ConsensusRunnerHooks hooks;
    const Executor executor;
    const Executor diskExecutor;
    const RandomSource random;

    RankedMutex mutex{LockRank::ConsensusNode};
    RankedCondition idle;
    std::optional<DurableStore> store ABSL_GUARDED_BY(mutex);
    std::optional<ConsensusNode> node ABSL_GUARDED_BY(mutex);
    bool writing ABSL_GUARDED_BY(mutex) = false; ///< A thread is calling the store.
    /// When the write began that the disk refuses or does not complete.
    std::optional<TimePoint> blockedSince ABSL_GUARDED_BY(mutex);
    absl::Status lastWriteError ABSL_GUARDED_BY(mutex);
    EffectQueue effects ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail::detail

#endif
