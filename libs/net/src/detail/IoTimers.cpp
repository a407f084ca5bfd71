#include "IoTimers.h"

#include <core/RankedLock.h>

#include <utility>

namespace auburnrail::detail {

IoTimers::IoTimers(boost::asio::io_context &ioContext)
    : context(ioContext)
{
}

auto IoTimers::start(Duration delay, Task task) -> TimerId
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    auto id = TimerId();
    {
        const RankedLock lock(this->mutex);
        id = ++this->lastId;
        this->timers.emplace(id, timer);
    }
    timer->async_wait([self = this->shared_from_this(), id,
                       task = std::move(task)](const boost::system::error_code &error) {
        if (self->take(id) && !error)
            task();
    });
    return id;
}

auto IoTimers::cancel(TimerId id) -> void
{
    auto timer = Timer();
    {
        const RankedLock lock(this->mutex);
        const auto found = this->timers.find(id);
        if (found == this->timers.end())
            return;
        timer = std::move(found->second);
        this->timers.erase(found);
    }
    timer->cancel();
}

auto IoTimers::dropAll() -> void
{
    const RankedLock lock(this->mutex);
    this->timers.clear();
}

auto IoTimers::take(TimerId id) -> bool
{
    const RankedLock lock(this->mutex);
    return this->timers.erase(id) != 0;
}

} // namespace auburnrail::detail
