#include <LimitUsers.h>

#include <algorithm>

namespace auburnrail::detail {

namespace {

// A holder that still waits asks again within this time.
constexpr auto DEMAND_LIFETIME = std::chrono::milliseconds(400);

auto isWaiting(const LimitUser &user, TimePoint now) -> bool
{
    return user.unmet > 0 && now - user.askedAt < DEMAND_LIFETIME;
}

} // namespace

auto tokensAwaitedByOthers(const std::map<HolderId, LimitUser> &users, const HolderId &holder,
                           TimePoint turnSince, TimePoint now) -> TokensAwaited
{
    auto awaited = TokensAwaited();
    for (const auto &[other, user] : users) {
        if (other == holder || !isWaiting(user, now))
            continue;
        awaited.all += user.unmet;
        awaited.ahead += user.turnSince < turnSince ? user.turnLeft : 0;
    }
    return awaited;
}

auto turnOf(const std::map<HolderId, LimitUser> &users, const HolderId &holder,
            std::uint32_t wanted, TimePoint now) -> LimitUser
{
    const auto found = users.find(holder);
    auto turn = LimitUser{.seenAt = now, .askedAt = now, .turnSince = now, .turnLeft = wanted};
    if (found != users.end() && isWaiting(found->second, now)) {
        turn.turnSince = found->second.turnSince;
        turn.turnLeft = std::min(found->second.turnLeft, wanted);
    }
    return turn;
}

} // namespace auburnrail::detail
