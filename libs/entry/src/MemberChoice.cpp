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

auto MemberChoice::find(const std::string &name) -> std::vector<Member>::iterator
{
    return std::find_if(this->members.begin(), this->members.end(),
                        [&](const Member &member) { return member.name == name; });
}

auto MemberChoice::insert(const std::vector<std::string> &names) -> void
{
    if (!this->learnsMembers)
        return;
    for (const auto &name : names) {
        if (!name.empty() && this->members.size() < MAX_MEMBERS
            && this->find(name) == this->members.end())
            this->members.push_back(Member{.name = name, .silentAt = {}});
    }
}

auto MemberChoice::granted(const std::vector<std::string> &names) -> void
{
    this->responded();
    this->failed = 0;
    if (!this->learnsMembers || names.empty())
        return;
    // A leader that is being removed leads until its successor does.
    const auto leader = this->current();
    std::erase_if(this->members, [&](const Member &member) {
        return member.name != leader
               && std::find(names.begin(), names.end(), member.name) == names.end();
    });
    this->insert(names);
    for (auto &member : this->members)
        member.isNamedByLeader = true;
    this->index = static_cast<std::size_t>(this->find(leader) - this->members.begin());
}

auto MemberChoice::refused(const std::string &leader, const std::vector<std::string> &names,
                           TimePoint now) -> void
{
    this->responded();
    ++this->failed;
    this->insert({leader});
    this->insert(names);
    const auto named = this->find(leader);
    const auto position = static_cast<std::size_t>(named - this->members.begin());
    if (named != this->members.end() && position != this->index)
        this->index = position;
    else
        this->chooseNextInTurn(now);
}

auto MemberChoice::hasTriedAll() const -> bool
{
    return this->failed >= this->members.size();
}

auto MemberChoice::add(const std::vector<std::string> &names) -> void
{
    this->failed = 0;
    if (!this->learnsMembers || names.empty())
        return;
    std::erase_if(this->members, [&](const Member &member) {
        return !member.isNamedByLeader
               && std::find(names.begin(), names.end(), member.name) == names.end();
    });
    const auto known = this->members.size();
    this->insert(names);
    this->index = known < this->members.size() ? known : 0;
}

auto MemberChoice::silent(TimePoint now) -> void
{
    this->members[this->index].silentAt = now;
    ++this->members[this->index].silences;
    ++this->failed;
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
