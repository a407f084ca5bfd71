#include <settings/MemberAddress.h>

#include <algorithm>

namespace auburnrail {

auto parseMemberAddresses(const SettingsFile &file, std::string_view section, std::string_view key,
                          Findings &findings) -> std::vector<MemberAddress>
{
    auto members = std::vector<MemberAddress>();
    for (const auto &item : file.list(section, key)) {
        const auto at = item.find('@');
        if (at == std::string::npos || at == 0 || at + 1 == item.size()) {
            findings.add(file.place(section, key), "'" + item + "' is not name@IP:port");
            continue;
        }
        auto member = MemberAddress{item.substr(0, at), item.substr(at + 1)};
        const auto repeated = std::any_of(members.begin(), members.end(), [&](const auto &other) {
            return other.name == member.name;
        });
        if (repeated)
            findings.add(file.place(section, key), "'" + member.name + "' is listed twice");
        members.push_back(std::move(member));
    }
    return members;
}

auto ipOf(const std::string &address) -> std::string
{
    const auto colon = address.rfind(':');
    return colon == std::string::npos ? std::string() : address.substr(0, colon);
}

auto withPortOf(const std::string &ip, const std::string &address) -> std::string
{
    const auto colon = address.rfind(':');
    return colon == std::string::npos ? ip : ip + address.substr(colon);
}

} // namespace auburnrail
