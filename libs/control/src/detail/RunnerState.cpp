#include "RunnerState.h"

#include <core/RankedLock.h>

#include <cassert>
#include <utility>

namespace auburnrail::detail {

namespace {

constexpr auto TICK_INTERVAL = std::chrono::milliseconds(20);

} // namespace

RunnerState::RunnerState(ConsensusSettings nodeSettings, ConsensusRunnerHooks runnerHooks,
                         Executor runnerExecutor, RandomSource randomSource)
    : settings(std::move(nodeSettings))
    , hooks(std::move(runnerHooks))
    , executor(std::move(runnerExecutor))
    , random(std::move(randomSource))
{
    assert(this->hooks.send && this->hooks.committed && this->hooks.installSnapshot
           && this->hooks.leadershipChanged && this->hooks.proposalLost && this->hooks.makeSnapshot
           && this->hooks.failed && "all hooks must be set");
}

auto RunnerState::start(ConsensusDisk opened) -> absl::Status
{
    auto restored = opened.restore();
    if (!restored.ok())
        return restored.status();
    const auto &snapshot = restored->snapshot;
    if (snapshot.index > 0)
        this->hooks.installSnapshot(snapshot.content, snapshot.index, snapshot.term);
    {
        const RankedLock lock(this->mutex);
        this->settings.self = opened.self();
        this->disk.emplace(std::move(opened));
        this->node.emplace(this->settings, this->nodeHooks(), std::move(*restored),
                           this->executor.now());
    }
    this->tick();
    return absl::OkStatus();
}

auto RunnerState::nodeHooks() -> ConsensusHooks
{
    // The node calls its hooks with the lock held, and lives as long as this object.
    auto *queue = &this->effects;
    auto *opened = &*this->disk;
    const auto *outer = &this->hooks;
    return ConsensusHooks{
        .persist =
            [queue, opened, outer](const PersistBatch &batch) {
                auto result = opened->persist(batch);
                if (!result.ok())
                    queue->push([outer, result] { outer->failed(result); });
                return result;
            },
        .send =
            [queue, outer](Message message) {
                queue->push([outer, message = std::move(message)] { outer->send(message); });
            },
        .committed =
            [queue, outer](LogIndex index, Term term, const std::string &payload) {
                queue->push(
                    [outer, index, term, payload] { outer->committed(index, term, payload); });
            },
        .installSnapshot =
            [queue, outer](const std::string &content, LogIndex index, Term term) {
                queue->push([outer, content, index, term] {
                    outer->installSnapshot(content, index, term);
                });
            },
        .leadershipChanged =
            [queue, outer](bool leads, Term term) {
                queue->push([outer, leads, term] { outer->leadershipChanged(leads, term); });
            },
        .proposalLost =
            [queue, outer](LogIndex index, Term term) {
                queue->push([outer, index, term] { outer->proposalLost(index, term); });
            },
        .snapshotDue =
            [queue, this](LogIndex index) {
                queue->push([this, index] { this->storeSnapshot(index); });
            },
        .randomTimeout =
            [this] {
                const auto &limits = this->settings;
                const auto spread = limits.maxElectionTimeout - limits.minElectionTimeout;
                const auto steps = static_cast<std::uint64_t>(spread.count()) + 1;
                return limits.minElectionTimeout
                       + Duration(static_cast<std::int64_t>(this->random() % steps));
            },
    };
}

auto RunnerState::stop() -> void
{
    const RankedLock lock(this->mutex);
    this->stopping = true;
    this->effects.clear();
    while (this->effects.claimed())
        this->idle.wait(this->mutex);
    // Releases the data directory even if a scheduled tick still refers to this object.
    this->node.reset();
    this->disk.reset();
}

auto RunnerState::tick() -> void
{
    {
        const RankedLock lock(this->mutex);
        if (this->stopping)
            return;
        this->node->tick(this->executor.now());
    }
    this->runEffects();
    this->executor.postAfter(TICK_INTERVAL, [weak = this->weak_from_this()] {
        if (const auto state = weak.lock())
            state->tick();
    });
}

auto RunnerState::receive(const Message &message) -> void
{
    {
        const RankedLock lock(this->mutex);
        if (this->stopping || !this->node)
            return;
        this->node->receive(message, this->executor.now());
    }
    this->runEffects();
}

auto RunnerState::propose(std::string payload) -> absl::StatusOr<LogIndex>
{
    auto result = absl::StatusOr<LogIndex>(absl::UnavailableError("this member is stopped"));
    {
        const RankedLock lock(this->mutex);
        if (this->stopping || !this->node)
            return result;
        result = this->node->propose(std::move(payload), this->executor.now());
    }
    this->runEffects();
    return result;
}

auto RunnerState::isLeaderWithQuorum() -> bool
{
    const RankedLock lock(this->mutex);
    return !this->stopping && this->node && this->node->isLeaderWithQuorum(this->executor.now());
}

auto RunnerState::status() -> NodeStatus
{
    const RankedLock lock(this->mutex);
    return this->node ? this->node->status(this->executor.now()) : NodeStatus();
}

auto RunnerState::storeSnapshot(LogIndex index) -> void
{
    // All earlier effects have run, so the snapshot holds the state after the entry at `index`.
    auto content = this->hooks.makeSnapshot();
    const RankedLock lock(this->mutex);
    // A failed write is reported by the persist hook.
    if (!this->stopping)
        this->node->storeSnapshot(index, std::move(content)).IgnoreError();
}

auto RunnerState::runEffects() -> void
{
    {
        const RankedLock lock(this->mutex);
        if (!this->effects.claim())
            return;
    }
    while (const auto effect = this->takeEffect())
        (*effect)();
}

auto RunnerState::takeEffect() -> std::optional<Task>
{
    const RankedLock lock(this->mutex);
    auto effect = this->effects.take();
    if (!effect)
        this->idle.notifyAll();
    return effect;
}

} // namespace auburnrail::detail
