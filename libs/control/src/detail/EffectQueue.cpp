#include "EffectQueue.h"

#include <utility>

namespace auburnrail::detail {

auto EffectQueue::push(Task effect) -> void
{
    this->effects.push_back(std::move(effect));
}

auto EffectQueue::claim() -> bool
{
    return !std::exchange(this->running, true);
}

auto EffectQueue::take() -> std::optional<Task>
{
    if (this->effects.empty()) {
        this->running = false;
        return std::nullopt;
    }
    auto effect = std::move(this->effects.front());
    this->effects.pop_front();
    return effect;
}

auto EffectQueue::claimed() const -> bool
{
    return this->running;
}

auto EffectQueue::clear() -> void
{
    this->effects.clear();
}

} // namespace auburnrail::detail
