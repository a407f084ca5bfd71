#include <settings/EntrySettings.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

namespace auburnrail {

namespace {

constexpr auto VALID_ENTRY = R"([entry]
instance = entry-1
zone = coast-a
callers_address = 127.0.0.1:7001
operators_address = 127.0.0.1:7002
[control]
members = a@127.0.0.1:7101, b@127.0.0.1:7102
[security]
cluster_secret_file = secret
)";

auto findingsOf(const std::string &text) -> std::string
{
    auto findings = Findings();
    const auto file = SettingsFile::parse(text, "entry.ini", entrySettingsTable(), findings);
    std::ignore = parseEntrySettings(file, findings);
    return findings.toString();
}

struct FaultCase
{
    std::string fault;
    std::string added;
    std::string expected;
};

} // namespace

TEST_CASE("a valid file gives the values and the defaults of absent keys")
{
    auto findings = Findings();
    const auto file = SettingsFile::parse(VALID_ENTRY, "entry.ini", entrySettingsTable(), findings);
    const auto settings = parseEntrySettings(file, findings);
    CHECK(findings.toString().empty());
    CHECK(settings.zone == "coast-a");
    REQUIRE(settings.controlMembers.size() == 2);
    CHECK(settings.controlMembers[1].name == "b");
    CHECK(settings.controlMembers[1].address == "127.0.0.1:7102");
    CHECK(settings.drainLimit == std::chrono::seconds(10));
}

// Guards against settings that are silently ignored or half applied.
TEST_CASE("each fault names its file, line, section and key")
{
    const auto testCase = GENERATE(
        FaultCase{"unknown key", "colour = red\n",
                  "entry.ini:10: [security] colour: unknown setting\n"},
        FaultCase{"number out of range", "[entry]\nworker_threads = 0\n",
                  "entry.ini:11: [entry] worker_threads: 0 is outside 1 to 4096 threads\n"},
        FaultCase{"not a number", "[entry]\nworker_threads = many\n",
                  "entry.ini:11: [entry] worker_threads: 'many' is not a whole number\n"},
        FaultCase{"repeated key", "[entry]\nzone = other\n",
                  "entry.ini:11: [entry] zone: set twice, first in line 3\n"},
        FaultCase{"no equals sign", "what is this\n",
                  "entry.ini:10: [security]: expected 'key = value'\n"});
    INFO(testCase.fault);
    CHECK(findingsOf(VALID_ENTRY + testCase.added) == testCase.expected);
}

TEST_CASE("all faults of a file are reported in one run")
{
    const auto text = findingsOf("[entry]\ncallers_address = nowhere\nport = 1\n");
    CHECK(text.find("'nowhere' is not IP:port") != std::string::npos);
    CHECK(text.find("[entry] port: unknown setting") != std::string::npos);
    CHECK(text.find("[entry] instance: must be set") != std::string::npos);
    CHECK(text.find("[control] members: must be set") != std::string::npos);
}

// Guards against an entry that starts and never gets a lease: control registers only names.
TEST_CASE("the names of an entry's settings are names")
{
    const auto text = findingsOf(R"([entry]
instance = entry 1
zone = coast,a
sessions_address = 127.0.0.1:7001
operators_address = 127.0.0.1:7002
[control]
members = a@127.0.0.1:7101
)");
    CHECK(text
          == "entry.ini:2: [entry] instance: 'entry 1' is not a name\n"
             "entry.ini:3: [entry] zone: 'coast,a' is not a name\n");
}

// Guards against crashes on damaged files.
TEST_CASE("arbitrary bytes never crash the settings parser")
{
    CHECK(rc::check([](const std::string &text) { std::ignore = findingsOf(text); }));
}

} // namespace auburnrail
