#include "RunnerState.h"

#include <core/RankedLock.h>

#include <cassert>
#include <utility>

namespace auburnrail::detail {

namespace {

constexpr auto TICK_INTERVAL = std::chrono::milliseconds(20);
constexpr auto WRITE_RETRY_INTERVAL = std::chrono::milliseconds(100);

} // namespace

RunnerState::RunnerState(ConsensusSettings nodeSettings, ConsensusRunnerHooks runnerHooks,
                         Executor runnerExecutor, Executor writeExecutor, RandomSource randomSource)
    : settings(std::move(nodeSettings))
    , hooks(std::move(runnerHooks))
    , executor(std::move(runnerExecutor))
    , diskExecutor(std::move(writeExecutor))
    , random(std::move(randomSource))
{
    assert(this->hooks.send && this->hooks.committed && this->hooks.installSnapshot
           && this->hooks.leadershipChanged && this->hooks.proposalLost && this->hooks.makeSnapshot
           && this->hooks.diskChanged && "all hooks must be set");
}

auto RunnerState::start(DurableStore opened) -> absl::Status
{
    auto restored = opened.restore();
    if (!restored.ok())
        return restored.status();
    const auto &snapshot = restored->snapshot;
    if (snapshot.index > 0)
        this->hooks.installSnapshot(snapshot.content, snapshot.index, snapshot.term);
    {
        const RankedLock lock(this->mutex);
        this->settings.self = opened.self;
        this->store.emplace(std::move(opened));
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
    const auto *outer = &this->hooks;
    return ConsensusHooks{
        .persist =
            [queue, this](PersistBatch next) {
                queue->push([this, batch = std::make_shared<const PersistBatch>(std::move(next))] {
                    this->scheduleWrite(batch, Duration::zero());
                });
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
    while (this->effects.claimed() || this->writing)
        this->idle.wait(this->mutex);
    // Releases the data directory even if a scheduled tick still refers to this object.
    this->node.reset();
    this->store.reset();
}

auto RunnerState::tick() -> void
{
    {
        const RankedLock lock(this->mutex);
        if (this->stopping)
            return;
        const auto now = this->executor.now();
        this->node->tick(now);
        this->checkDisk(now);
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

auto RunnerState::scheduleWrite(std::shared_ptr<const PersistBatch> batch, Duration delay) -> void
{
    auto task = [weak = this->weak_from_this(), batch = std::move(batch)] {
        if (const auto state = weak.lock())
            state->write(batch);
    };
    if (delay == Duration::zero())
        this->diskExecutor.post(std::move(task));
    else
        this->diskExecutor.postAfter(delay, std::move(task));
}

auto RunnerState::write(const std::shared_ptr<const PersistBatch> &batch) -> void
{
    auto persist = std::function<auto(const PersistBatch &)->absl::Status>();
    {
        const RankedLock lock(this->mutex);
        if (this->stopping)
            return;
        this->writing = true;
        persist = this->store->persist;
    }
    const auto status = persist(*batch);
    // Once `writing` is false, stop() releases the data directory: no copy of the hook may be left.
    persist = nullptr;
    {
        const RankedLock lock(this->mutex);
        this->writing = false;
        this->idle.notifyAll();
        if (this->stopping)
            return;
        const auto now = this->executor.now();
        this->lastWriteError = status;
        if (status.ok())
            this->node->persisted(now);
        else
            this->node->writeRefused(now);
        this->checkDisk(now);
    }
    this->runEffects();
    if (!status.ok())
        this->scheduleWrite(batch, WRITE_RETRY_INTERVAL);
}

auto RunnerState::checkDisk(TimePoint now) -> void
{
    const auto blocked = this->node->isDiskBlocked(now);
    if (blocked == this->blockedSince.has_value())
        return;
    if (blocked)
        this->blockedSince = now - this->node->writeAge(now);
    const auto status = DiskStatus{
        .blocked = blocked, .age = now - *this->blockedSince, .lastError = this->lastWriteError};
    if (!blocked)
        this->blockedSince.reset();
    this->effects.push([this, status] { this->hooks.diskChanged(status); });
}

auto RunnerState::storeSnapshot(LogIndex index) -> void
{
    // All earlier effects have run, so the snapshot holds the state after the entry at `index`.
    auto content = this->hooks.makeSnapshot();
    const RankedLock lock(this->mutex);
    if (!this->stopping)
        this->node->storeSnapshot(index, std::move(content), this->executor.now());
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
