#ifndef AUBURNRAIL_CONTROL_CONSENSUSRUNNER_H
#define AUBURNRAIL_CONTROL_CONSENSUSRUNNER_H

#include <control/ConsensusRunnerHooks.h>
#include <control/DurableStore.h>

#include <consensus/ConsensusSettings.h>
#include <consensus/NodeStatus.h>

#include <core/Executor.h>
#include <core/RandomSource.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace auburnrail {

namespace detail {
class RunnerState;
}

/// Runs one ConsensusNode: owns its storage and its lock, ticks it, writes its changes to disk, and
/// calls the hooks. The lock is never held during a write, so that a disk that stalls holds up
/// nothing but the write itself. Thread rule: all calls from any thread, but start() before the
/// others.
class ConsensusRunner
{
public:
    /// `settings.self` is taken from the disk. Writes to disk run on `diskExecutor`, one at a time.
    /// `random` draws election timeouts and is called with the node's lock held.
    ConsensusRunner(ConsensusSettings settings, ConsensusRunnerHooks hooks, Executor executor,
                    Executor diskExecutor, RandomSource random);
    ConsensusRunner(const ConsensusRunner &) = delete;
    auto operator=(const ConsensusRunner &) -> ConsensusRunner & = delete;

    /// Calls stop().
    ~ConsensusRunner();

    /// Restores the state, calls installSnapshot if a snapshot is stored, and starts the ticks.
    [[nodiscard]] auto start(DurableStore store) -> absl::Status;

    /// Stops the ticks and the hook calls, and waits for a hook and a write that are running. Must
    /// not be called from a hook.
    auto stop() -> void;

    auto receive(const Message &message) -> void;

    /// As ConsensusNode::propose. The `committed` hook may be called before this returns.
    [[nodiscard]] auto propose(std::string payload) -> absl::StatusOr<LogIndex>;

    [[nodiscard]] auto isLeaderWithQuorum() const -> bool;
    [[nodiscard]] auto status() const -> NodeStatus;

private:
    std::shared_ptr<detail::RunnerState> state;
};

} // namespace auburnrail

#endif
