#include <core/RankedMutex.h>

#ifdef AUBURNRAIL_CHECK_LOCK_ORDER
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>
#endif

namespace auburnrail {

#ifdef AUBURNRAIL_CHECK_LOCK_ORDER
namespace {

auto heldRanks() -> std::vector<LockRank> &
{
    thread_local auto ranks = std::vector<LockRank>();
    return ranks;
}

auto checkOrder(LockRank rank) -> void
{
    for (const auto held : heldRanks()) {
        if (held < rank)
            continue;
        const auto wanted = nameOf(rank);
        const auto holding = nameOf(held);
        std::fprintf(stderr, "lock order violated: taking '%.*s' while holding '%.*s'\n",
                     static_cast<int>(wanted.size()), wanted.data(),
                     static_cast<int>(holding.size()), holding.data());
        std::abort();
    }
}

} // namespace
#endif

RankedMutex::RankedMutex(LockRank rank)
    : rank(rank)
{
}

auto RankedMutex::lock() -> void
{
#ifdef AUBURNRAIL_CHECK_LOCK_ORDER
    checkOrder(this->rank);
    heldRanks().push_back(this->rank);
#endif
    this->mutex.lock();
}

auto RankedMutex::unlock() -> void
{
    this->mutex.unlock();
#ifdef AUBURNRAIL_CHECK_LOCK_ORDER
    auto &ranks = heldRanks();
    ranks.erase(std::find(ranks.begin(), ranks.end(), this->rank));
#endif
}

} // namespace auburnrail
