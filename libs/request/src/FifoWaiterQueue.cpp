#include <request/WaiterQueue.h>

#include <algorithm>
#include <deque>
#include <memory>

namespace auburnrail {

auto makeFifoWaiterQueue(std::size_t limit) -> WaiterQueue
{
    const auto ids = std::make_shared<std::deque<std::uint64_t>>();
    return WaiterQueue{
        .push =
            [ids, limit](const ConnectionWaiter &waiter, TimePoint /*now*/) {
                if (ids->size() >= limit)
                    return false;
                ids->push_back(waiter.id);
                return true;
            },
        .pop = [ids](TimePoint /*now*/) -> std::optional<std::uint64_t> {
            if (ids->empty())
                return std::nullopt;
            const auto id = ids->front();
            ids->pop_front();
            return id;
        },
        .remove =
            [ids](std::uint64_t id) {
                ids->erase(std::remove(ids->begin(), ids->end(), id), ids->end());
            },
    };
}

} // namespace auburnrail
