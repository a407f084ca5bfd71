#include <LimitUsers.h>

namespace auburnrail::detail {

namespace {

// A holder that still waits asks again within this time.
constexpr auto DEMAND_LIFETIME = std::chrono::milliseconds(400);

auto isWaiting(const LimitUser &user, TimePoint now) -> bool
{
    return user.unmet > 0 && now - user.askedAt < DEMAND_LIFETIME;
}

} // namespace

auto countOtherWaiters(const std::map<HolderId, LimitUser> &users, const HolderId &holder,
                       TimePoint turnSince, TimePoint now) -> OtherWaiters
{
    auto waiters = OtherWaiters();
    for (const auto &[other, user] : users) {
        if (other == holder || !isWaiting(user, now))
            continue;
        ++waiters.all;
        waiters.ahead += user.turnSince < turnSince ? 1 : 0;
    }
    return waiters;
}

auto turnOf(const std::map<HolderId, LimitUser> &users, const HolderId &holder, TimePoint now)
    -> TimePoint
{
    const auto found = users.find(holder);
    return found != users.end() && isWaiting(found->second, now) ? found->second.turnSince : now;
}

} // namespace auburnrail::detail
