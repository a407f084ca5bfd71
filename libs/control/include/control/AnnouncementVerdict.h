#ifndef AUBURNRAIL_CONTROL_ANNOUNCEMENTVERDICT_H
#define AUBURNRAIL_CONTROL_ANNOUNCEMENTVERDICT_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Whether an announcement is the one of the endpoint that it names. Only an accepted one changes
/// what is known of the endpoint.
enum class AnnouncementVerdict : std::uint8_t {
    Accepted,
    Outdated,     ///< A newer one of this process or a later process is known.
    OtherGroup,   ///< The endpoint is registered in another group.
    AddressTaken, ///< Another endpoint has the address, see EndpointRegistrar.
};

template <>
inline constexpr auto
    ENUM_NAMES<AnnouncementVerdict> = std::to_array<EnumName<AnnouncementVerdict>>({
        {AnnouncementVerdict::Accepted, "accepted"},
        {AnnouncementVerdict::Outdated, "outdated"},
        {AnnouncementVerdict::OtherGroup, "other-group"},
        {AnnouncementVerdict::AddressTaken, "address-taken"},
    });

} // namespace auburnrail

#endif
