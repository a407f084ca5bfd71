#include <core/VirtualScheduler.h>

namespace auburnrail {

auto VirtualScheduler::executor() -> Executor
{
    return Executor{
        .now = [this] { return this->clock; },
        .post = [this](Task task) { this->timers.schedule(this->clock, std::move(task)); },
        .postAfter =
            [this](Duration delay, Task task) {
                return this->timers.schedule(this->clock + delay, std::move(task));
            },
        .cancel = [this](TimerId id) { this->timers.cancel(id); },
    };
}

auto VirtualScheduler::now() const -> TimePoint
{
    return this->clock;
}

auto VirtualScheduler::runUntil(TimePoint end) -> void
{
    while (const auto due = this->timers.nextDue()) {
        if (*due > end)
            break;
        this->clock = std::max(this->clock, *due);
        if (const auto task = this->timers.takeDue(this->clock))
            (*task)();
    }
    this->clock = std::max(this->clock, end);
}

auto VirtualScheduler::runFor(Duration length) -> void
{
    this->runUntil(this->clock + length);
}

} // namespace auburnrail
