#ifndef AUBURNRAIL_CONTROL_CHECKANNOUNCEMENT_H
#define AUBURNRAIL_CONTROL_CHECKANNOUNCEMENT_H

#include <endpoint/Announcement.h>

#include <core/Findings.h>

#include <cstdint>

namespace auburnrail {

/// Greatest whole number that every JSON implementation represents exactly.
inline constexpr auto MAX_ANNOUNCED_NUMBER = (std::uint64_t(1) << 53U) - 1;

/// Greatest lead of an endpoint's wall clock over a control member's. An announcement with a later
/// start would take precedence over every process that starts at its address until then.
inline constexpr auto MAX_START_LEAD_H = std::chrono::hours(24);

/// Every fault of an announcement's values; `wallClock` is the time in milliseconds since 1970.
/// What is found here must not be stored, because every entry would have to deal with it. That an
/// endpoint has shut down is not checked, since only its name counts then.
[[nodiscard]] auto checkAnnouncement(const Announcement &announcement, std::int64_t wallClock)
    -> Findings;

} // namespace auburnrail

#endif
