#include <control/ConsensusRunner.h>

#include "detail/RunnerState.h"

#include <utility>

namespace auburnrail {

ConsensusRunner::ConsensusRunner(ConsensusSettings settings, ConsensusRunnerHooks hooks,
                                 Executor executor, Executor diskExecutor, RandomSource random)
    : state(std::make_shared<detail::RunnerState>(std::move(settings), std::move(hooks),
                                                  std::move(executor), std::move(diskExecutor),
                                                  std::move(random)))
{
}

ConsensusRunner::~ConsensusRunner()
{
    this->stop();
}

auto ConsensusRunner::start(DurableStore store) -> absl::Status
{
    return this->state->start(std::move(store));
}

auto ConsensusRunner::stop() -> void
{
    this->state->stop();
}

auto ConsensusRunner::receive(const Message &message) -> void
{
    this->state->receive(message);
}

auto ConsensusRunner::propose(std::string payload) -> absl::StatusOr<LogIndex>
{
    return this->state->propose(std::move(payload));
}

auto ConsensusRunner::isLeaderWithQuorum() const -> bool
{
    return this->state->isLeaderWithQuorum();
}

auto ConsensusRunner::status() const -> NodeStatus
{
    return this->state->status();
}

} // namespace auburnrail
