#include <core/TimerQueue.h>

namespace auburnrail {

auto TimerQueue::schedule(TimePoint due, Task task) -> TimerId
{
    const auto id = ++this->lastId;
    this->tasks.emplace(std::pair(due, id), std::move(task));
    this->dueTimes.emplace(id, due);
    return id;
}

auto TimerQueue::cancel(TimerId id) -> void
{
    const auto found = this->dueTimes.find(id);
    if (found == this->dueTimes.end())
        return;
    this->tasks.erase(std::pair(found->second, id));
    this->dueTimes.erase(found);
}

auto TimerQueue::takeDue(TimePoint now) -> std::optional<Task>
{
    const auto first = this->tasks.begin();
    if (first == this->tasks.end() || first->first.first > now)
        return std::nullopt;
    auto task = std::move(first->second);
    this->dueTimes.erase(first->first.second);
    this->tasks.erase(first);
    return task;
}

auto TimerQueue::nextDue() const -> std::optional<TimePoint>
{
    if (this->tasks.empty())
        return std::nullopt;
    return this->tasks.begin()->first.first;
}

} // namespace auburnrail
