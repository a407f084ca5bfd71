#ifndef AUBURNRAIL_SETTINGS_MEMBERADDRESS_H
#define AUBURNRAIL_SETTINGS_MEMBERADDRESS_H

#include <settings/SettingsFile.h>

#include <core/Findings.h>

#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// A named member and where it listens; written `name@IP:port` in settings.
struct MemberAddress
{
    std::string name;
    std::string address; ///< IP:port
};

/// Reads the list setting (section, key). Items of another form and repeated names are findings.
[[nodiscard]] auto parseMemberAddresses(const SettingsFile &file, std::string_view section,
                                        std::string_view key, Findings &findings)
    -> std::vector<MemberAddress>;

/// IP of an address IP:port; empty when it is none.
[[nodiscard]] auto ipOf(const std::string &address) -> std::string;

/// `ip` with the port of `address`, which is IP:port.
[[nodiscard]] auto withPortOf(const std::string &ip, const std::string &address) -> std::string;

} // namespace auburnrail

#endif
