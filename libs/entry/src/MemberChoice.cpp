#include <entry/MemberChoice.h>

#include <algorithm>
#include <cassert>

namespace auburnrail {

MemberChoice::MemberChoice(const std::vector<std::string> &names, bool learnsMembers)
    : learnsMembers(learnsMembers)
{
    assert(!names.empty() && "there must be at least one control member");
    for (const auto &name : names)
        this->members.push_back(Member{.name = name, .silentAt = {}});
}

auto MemberChoice::current() const -> const std::string &
{
    return this->members[this->index].name;
}

auto MemberChoice::wasSilent(const Member &member, TimePoint now) -> bool
{
    return member.silentAt && now - *member.silentAt < SILENCE_MEMORY_MS;
}

auto MemberChoice::isSuspect(TimePoint now) const -> bool
{
    const auto &member = this->members[this->index];
    return wasSilent(member, now) && member.silences == 1;
}

auto MemberChoice::responded() -> void
{
    this->members[this->index].silentAt.reset();
    this->members[this->index].silences = 0;
}

auto MemberChoice::granted() -> void
{
    this->responded();
}

auto MemberChoice::refused(const std::string &leader, TimePoint now) -> void
{
    this->responded();
    auto named = std::find_if(this->members.begin(), this->members.end(),
                              [&](const Member &member) { return member.name == leader; });
    if (named == this->members.end() && this->learnsMembers && !leader.empty())
        named = this->members.insert(named, Member{.name = leader, .silentAt = {}});
    const auto position = static_cast<std::size_t>(named - this->members.begin());
    if (named != this->members.end() && position != this->index)
        this->index = position;
    else
        this->chooseNextInTurn(now);
}

auto MemberChoice::silent(TimePoint now) -> void
{
    this->members[this->index].silentAt = now;
    ++this->members[this->index].silences;
    this->chooseNextInTurn(now);
}

auto MemberChoice::chooseNextInTurn(TimePoint now) -> void
{
    const auto count = this->members.size();
    for (auto step = std::size_t(1); step <= count; ++step) {
        const auto next = (this->index + step) % count;
        if (!wasSilent(this->members[next], now)) {
            this->index = next;
            return;
        }
    }
    this->index = (this->index + 1) % count;
}

} // namespace auburnrail
