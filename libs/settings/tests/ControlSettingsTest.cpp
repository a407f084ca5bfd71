#include <settings/ControlSettings.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

auto controlFindings(const std::string &members, const std::string &consensus) -> std::string
{
    const auto text =
        "[control]\ncluster = c\nmember = a\nzone = z\nconsensus_address = 127.0.0.1:5\nmembers = "
        + members
        + "\nentries_address = 127.0.0.1:1\noperators_address = 127.0.0.1:2\n"
          "member_operators = a@127.0.0.1:2\ndata_directory = d\n[security]\n"
          "cluster_secret_file = s\n[consensus]\n"
        + consensus;
    auto findings = Findings();
    const auto file = SettingsFile::parse(text, "c.ini", controlSettingsTable(), findings);
    std::ignore = parseControlSettings(file, findings);
    return findings.toString();
}

} // namespace

// Guards against a member list that can't form the intended quorum.
TEST_CASE("faults of a control member's settings are found")
{
    CHECK(controlFindings("a@127.0.0.1:3", "").empty());
    CHECK(controlFindings("b@127.0.0.1:3", "").find("[control] member: is not in members")
          != std::string::npos);
    CHECK(controlFindings("a@127.0.0.1:3, a@127.0.0.1:4", "").find("'a' is listed twice")
          != std::string::npos);
    CHECK(controlFindings("a", "").find("'a' is not name@IP:port") != std::string::npos);
    CHECK(controlFindings("a@127.0.0.1:3, b@nowhere", "").find("'b@nowhere' is not name@IP:port")
          != std::string::npos);
    CHECK(controlFindings("a@127.0.0.1:3, b c@127.0.0.1:4", "")
              .find("'b c@127.0.0.1:4' is not name@IP:port")
          != std::string::npos);
    CHECK(controlFindings("a@127.0.0.1:3", "heartbeat_ms = 400\n").find("at least 3 times")
          != std::string::npos);
}

} // namespace auburnrail
