#include <control/CheckAnnouncement.h>

#include <core/Name.h>
#include <core/Time.h>
#include <net/TcpAddress.h>

namespace auburnrail {

namespace {

constexpr auto SOURCE = "announcement";

} // namespace

auto checkAnnouncement(const Announcement &announcement, std::int64_t wallClock) -> Findings
{
    auto findings = Findings();
    const auto fault = [&findings](const char *member, std::string message) {
        findings.add(Place{.source = SOURCE, .key = member}, std::move(message));
    };
    const auto checkName = [&fault](const char *member, const std::string &value) {
        if (!isName(value))
            fault(member, "is not a name");
    };
    checkName("endpoint", announcement.endpoint);
    if (announcement.gone)
        return findings;
    checkName("group", announcement.group);
    checkName("zone", announcement.zone);
    if (!isConnectableAddress(announcement.address))
        fault("address", "must be an IP and a port from 1 to 65535");
    if (announcement.sequence > MAX_ANNOUNCED_NUMBER)
        fault("sequence", "is out of range");
    const auto latestStart = wallClock + toMillis(MAX_START_LEAD_H);
    if (announcement.startedAt > MAX_ANNOUNCED_NUMBER
        || static_cast<std::int64_t>(announcement.startedAt) > latestStart)
        fault("start", "is in the future");
    return findings;
}

} // namespace auburnrail
