#include <settings/MemberAddress.h>

#include <core/Name.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdint>

namespace auburnrail {

namespace {

constexpr auto MAX_PORT = std::uint32_t(65535);

/// Whether `address` has a host without white space and a port. Names are not resolved.
auto hasHostAndPort(const std::string &address) -> bool
{
    const auto host = ipOf(address);
    auto port = std::uint32_t(0);
    return !host.empty() && std::none_of(host.begin(), host.end(), absl::ascii_isspace)
           && absl::SimpleAtoi(address.substr(host.size() + 1), &port) && port >= 1
           && port <= MAX_PORT;
}

} // namespace

auto parseMemberAddresses(const SettingsFile &file, std::string_view section, std::string_view key,
                          Findings &findings) -> std::vector<MemberAddress>
{
    auto members = std::vector<MemberAddress>();
    for (const auto &item : file.list(section, key)) {
        const auto at = item.find('@');
        if (at == std::string::npos || !isName(item.substr(0, at))
            || !hasHostAndPort(item.substr(at + 1))) {
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
