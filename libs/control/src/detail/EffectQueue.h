#ifndef AUBURNRAIL_CONTROL_DETAIL_EFFECTQUEUE_H
#define AUBURNRAIL_CONTROL_DETAIL_EFFECTQUEUE_H

#include <core/Executor.h>

#include <deque>
#include <optional>

namespace auburnrail::detail {

/// Queue of hook calls that are deferred until the node's lock is released. One thread at a time
/// runs them, so that they run in the order of the node's decisions. Thread rule: guarded by its
/// owner.
class EffectQueue
{
public:
    auto push(Task effect) -> void;

    /// Makes the caller the thread that runs effects. False when another thread is running them.
    [[nodiscard]] auto claim() -> bool;

    /// Removes and returns the next effect. When there is none, the claim ends.
    [[nodiscard]] auto take() -> std::optional<Task>;

    [[nodiscard]] auto claimed() const -> bool;

    auto clear() -> void;

private:
    std::deque<Task> effects;
    bool running = false;
};

} // namespace auburnrail::detail

#endif
