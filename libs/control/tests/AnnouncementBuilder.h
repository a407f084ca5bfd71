#ifndef AUBURNRAIL_CONTROL_TESTS_ANNOUNCEMENTBUILDER_H
#define AUBURNRAIL_CONTROL_TESTS_ANNOUNCEMENTBUILDER_H

#include <endpoint/Announcement.h>

namespace auburnrail {

/// Announcement of a replica in group "g" at 127.0.0.1:1.
inline auto announcement(const std::string &name, std::uint64_t startedAt, std::uint64_t sequence)
    -> Announcement
{
    return Announcement{.endpoint = name,
                        .group = "g",
                        .zone = "z",
                        .address = "127.0.0.1:1",
                        .startedAt = startedAt,
                        .sequence = sequence};
}

/// The same of one that leaves.
inline auto leavingAnnouncement(const std::string &name, std::uint64_t startedAt,
                                std::uint64_t sequence) -> Announcement
{
    auto leaving = announcement(name, startedAt, sequence);
    leaving.leaving = true;
    return leaving;
}

} // namespace auburnrail

#endif
