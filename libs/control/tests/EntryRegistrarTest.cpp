#include <control/EntryRegistrar.h>

#include <state/FleetState.h>

#include <catch2/catch.hpp>

#include <optional>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

struct Fixture
{
    auto receiveHeartbeat(const std::string &instance) -> bool
    {
        return this->registrar.admits(
            instance, this->state.objects(), this->now,
            [this](CommandBody body) { this->commands.push_back(std::move(body)); });
    }

    auto applyAll() -> void
    {
        for (auto &body : std::exchange(this->commands, {})) {
            ++this->index;
            auto command = Command{.body = std::move(body)};
            command.header.commandId = "command-" + std::to_string(this->index);
            const auto result = applyCommand(this->state, command, this->index);
            REQUIRE(result.status == CommandStatus::Applied);
        }
    }

    FleetState state;
    EntryRegistrar registrar;
    std::vector<CommandBody> commands;
    Revision index = 0;
    TimePoint now = TimePoint(1h);
};

} // namespace

// Guards against shares held by an entry that a new leader does not know of and would not wait for.
TEST_CASE("an entry is granted shares only after its registration has been applied")
{
    auto fixture = Fixture();
    CHECK_FALSE(fixture.receiveHeartbeat("entry-1"));
    CHECK_FALSE(fixture.receiveHeartbeat("entry-1"));
    CHECK(fixture.commands.size() == 1);
    fixture.applyAll();
    CHECK(fixture.receiveHeartbeat("entry-1"));
    CHECK(fixture.commands.empty());
}

// Guards against an entry that is never granted a share because its registration was lost.
TEST_CASE("a lost registration is proposed again")
{
    auto fixture = Fixture();
    CHECK_FALSE(fixture.receiveHeartbeat("entry-1"));
    fixture.commands.clear();
    fixture.now += EntryRegistrar::REPEAT_AFTER_MS;
    CHECK_FALSE(fixture.receiveHeartbeat("entry-1"));
    fixture.applyAll();
    CHECK(fixture.receiveHeartbeat("entry-1"));
}

// Guards against a share granted while the removal of its entry is pending: the next leader would
// not know of it.
TEST_CASE("an entry whose removal is pending is granted no shares until it is registered again")
{
    auto fixture = Fixture();
    fixture.receiveHeartbeat("entry-1");
    fixture.applyAll();
    fixture.now += EntryRegistrar::FORGET_AFTER_S;
    auto removals = fixture.registrar.removalsOfUnresponsive(fixture.state.objects(), fixture.now);
    REQUIRE(removals.size() == 1);
    CHECK_FALSE(fixture.receiveHeartbeat("entry-1"));
    CHECK(fixture.commands.empty());
    fixture.commands = std::move(removals);
    fixture.applyAll();
    CHECK_FALSE(fixture.receiveHeartbeat("entry-1"));
    fixture.applyAll();
    CHECK(fixture.receiveHeartbeat("entry-1"));
}

// Guards against permanently removed instances that delay share grants at each change of leader.
TEST_CASE("a new leader removes entries that stay unresponsive")
{
    auto fixture = Fixture();
    fixture.receiveHeartbeat("entry-1");
    fixture.receiveHeartbeat("entry-2");
    fixture.applyAll();
    fixture.registrar.beginLeadership(fixture.state.objects(), fixture.now);
    fixture.now += 50s;
    CHECK(fixture.receiveHeartbeat("entry-2"));
    fixture.now += 10s;
    const auto removals =
        fixture.registrar.removalsOfUnresponsive(fixture.state.objects(), fixture.now);
    REQUIRE(removals.size() == 1);
    CHECK(std::get<DeleteObject>(removals[0]) == DeleteObject{ObjectKind::Entry, "entry-1"});
}

} // namespace auburnrail
