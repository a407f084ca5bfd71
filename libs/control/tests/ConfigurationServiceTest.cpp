#include <control/ConfigurationService.h>

#include <state/ConfigurationDocument.h>
#include <wire/FleetCodec.h>

#include <core/VirtualScheduler.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

/// Tables of a control member whose log reports a quorum.
struct MemberFixture
{
    auto commit(std::uint64_t version) -> void
    {
        auto body = ReplaceConfiguration();
        body.document.version = version;
        body.document.text = "text " + std::to_string(version);
        const auto command = Command{
            CommandHeader{.commandId = "c" + std::to_string(version), .operatorName = "test"},
            body};
        this->tables.committed(++this->lastIndex, encodeCommand(command));
    }

    VirtualScheduler scheduler;
    bool hasQuorum = true;
    Revision lastIndex = 0;
    ControlTables tables{
        scheduler.executor(), makeSeededRandom(1),
        ControlTablesHooks{.propose = [](const std::string &) -> absl::StatusOr<Revision> {
                               return absl::UnavailableError("not the leader");
                           },
                           .isLeaderWithQuorum = [this](TimePoint) { return this->hasQuorum; },
                           .leader = [] { return std::string("m1"); },
                           .wallClock =
                               [] {
                                   return std::int64_t(0);
                               }}};
    ConfigurationService service{tables};
};

} // namespace

// Guards against reading an outdated configuration from a new leader whose tables still apply
// entries that were committed before.
TEST_CASE("a configuration is read only from tables that hold everything committed")
{
    auto member = MemberFixture();
    member.commit(123);
    CHECK(absl::IsUnavailable(member.service.read().status()));
    member.commit(134);
    member.tables.leadershipChanged(true, 1);
    REQUIRE(member.service.read().ok());
    CHECK(*member.service.read() == "text 134");
    member.hasQuorum = false;
    CHECK(absl::IsUnavailable(member.service.read().status()));
    member.hasQuorum = true;
    member.tables.leadershipChanged(false, 1);
    CHECK(absl::IsUnavailable(member.service.read().status()));
}

TEST_CASE("an invalid configuration is refused with every finding, before it is proposed")
{
    auto member = MemberFixture();
    auto configuration = ReplaceConfiguration();
    configuration.objects = {Key{.id = "k", .organisation = "nobody"},
                             Route{.name = "r", .service = "nothing"}};
    const auto status = member.service.replace(configuration);
    CHECK(absl::IsInvalidArgument(status));
    CHECK(status.message().find("nobody") != absl::string_view::npos);
    CHECK(status.message().find("nothing") != absl::string_view::npos);
    CHECK(absl::IsUnavailable(member.service.replace(ReplaceConfiguration())));
}

} // namespace auburnrail
