#include <control/CheckAnnouncement.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

constexpr auto NOW = std::int64_t(1'700'000'000'000);

auto valid() -> Announcement
{
    return Announcement{.endpoint = "i-7f",
                        .group = "g",
                        .zone = "z",
                        .address = "10.128.0.9:8080",
                        .startedAt = static_cast<std::uint64_t>(NOW) - 1000,
                        .sequence = 4};
}

} // namespace

TEST_CASE("a plausible announcement has no faults")
{
    CHECK(checkAnnouncement(valid(), NOW).empty());
    auto announcement = valid();
    announcement.address = "[::1]:65535";
    announcement.startedAt = static_cast<std::uint64_t>(NOW) + 5000;
    CHECK(checkAnnouncement(announcement, NOW).empty());
}

// Guards against an odd announcement that is stored and handed to every entry: its address can't be
// used, or its numbers make announcements of real processes look out of date.
TEST_CASE("announcements with an unusable address or implausible numbers are refused")
{
    for (const auto *address :
         {"10.128.0.9:99999", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9", "10.128.0.9:", ":80",
          "server.example:80", "10.128.0.9:80x", "10.128.0.300:80", "[[[[[[[[[[[["}) {
        INFO(address);
        auto announcement = valid();
        announcement.address = address;
        CHECK(checkAnnouncement(announcement, NOW).all().size() == 1);
    }
    auto announcement = valid();
    announcement.sequence = MAX_ANNOUNCED_NUMBER + 1;
    announcement.startedAt = static_cast<std::uint64_t>(NOW) + 100'000'000;
    CHECK(checkAnnouncement(announcement, NOW).all().size() == 2);
    announcement.startedAt = ~std::uint64_t(0);
    CHECK(checkAnnouncement(announcement, NOW).all().size() == 2);
    announcement.gone = true;
    CHECK(checkAnnouncement(announcement, NOW).empty());
}

// Guards against a name that a server reads as two fields of a message, or as its end.
TEST_CASE("announcements with a name that no message can carry are refused")
{
    for (const auto *name : {"", "i 7f", "i-7f%20x", "i-7f?x=1", "i\r\nQUERY x", "i\t"}) {
        INFO(name);
        for (const auto member :
             {&Announcement::endpoint, &Announcement::group, &Announcement::zone}) {
            auto announcement = valid();
            announcement.*member = name;
            CHECK(checkAnnouncement(announcement, NOW).all().size() == 1);
        }
        auto departure = Announcement{.endpoint = name, .leaving = true, .gone = true};
        CHECK(checkAnnouncement(departure, NOW).all().size() == 1);
    }
}

} // namespace auburnrail
