#include <LimitUsers.h>

namespace auburnrail::detail {

namespace {

// A holder that still waits asks again within this time.
constexpr auto DEMAND_LIFETIME = std::chrono::milliseconds(400);

} // namespace

auto tokensAwaitedByOthers(const std::map<HolderId, LimitUser> &users, const HolderId &holder,
                           TimePoint now) -> std::uint32_t
{
    auto awaited = std::uint32_t(0);
    for (const auto &[other, user] : users) {
        if (other != holder && now - user.askedAt < DEMAND_LIFETIME)
            awaited += user.unmet;
    }
    return awaited;
}

} // namespace auburnrail::detail
