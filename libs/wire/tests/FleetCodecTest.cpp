#include <wire/FleetCodec.h>

#include "../../state/tests/CommandBuilder.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

namespace {

/// A state that random commands made, with objects of every kind.
auto randomState(const RandomSource &random) -> FleetState
{
    auto state = FleetState();
    for (auto index = Revision(1); index < 200; ++index)
        (void)applyCommand(state, randomCommand(random, index - 1), index);
    return state;
}

} // namespace

// Guards against fields that are lost or swapped on the way between members, entries and disk.
TEST_CASE("fleet types survive encoding")
{
    CHECK(rc::check("round trips", [](std::uint64_t seed) {
        const auto random = makeSeededRandom(seed);
        auto state = FleetState();
        auto decodedState = FleetState();
        for (auto index = Revision(1); index < 120; ++index) {
            const auto command = randomCommand(random, index - 1);
            const auto decoded = decodeCommand(encodeCommand(command));
            RC_ASSERT(decoded.ok());
            RC_ASSERT(*decoded == command);
            const auto result = applyCommand(state, command, index);
            RC_ASSERT(applyCommand(decodedState, *decoded, index) == result);
            RC_ASSERT(*decodeCommandResult(encodeCommandResult(result)) == result);
        }
        const auto snapshot = decodeSnapshot(encodeSnapshot(state.snapshot()));
        RC_ASSERT(snapshot.ok());
        RC_ASSERT(*snapshot == state.snapshot());
        RC_ASSERT(FleetState::restore(*snapshot).snapshot() == decodedState.snapshot());
        const auto update = *state.changesSince(random() % 120);
        RC_ASSERT(*decodeChanges(encodeChanges(update)) == update);
    }));
}

// Guards against damaged bytes that crash the reader, hang it or exhaust its memory.
TEST_CASE("damaged bytes give a status")
{
    CHECK(rc::check("damage", [](std::uint64_t seed) {
        const auto random = makeSeededRandom(seed);
        const auto state = randomState(random);
        const auto whole = encodeSnapshot(state.snapshot());
        RC_ASSERT_FALSE(decodeSnapshot(whole.substr(0, random() % whole.size())).ok());
        RC_ASSERT_FALSE(decodeSnapshot(whole + "x").ok());
        for (auto bytes : {whole, encodeChanges(*state.changesSince(0)),
                           encodeCommand(randomCommand(random, 1))}) {
            for (auto count = random() % 4 + 1; count > 0; --count)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            // Some damage gives another valid value; it only must not throw.
            (void)decodeSnapshot(bytes).ok();
            (void)decodeChanges(bytes).ok();
            (void)decodeCommand(bytes).ok();
            (void)decodeCommandResult(bytes).ok();
        }
    }));
}

// Guards against sizes that are believed before the bytes are there, numbers outside enumerations
// and objects that a state could not hold.
TEST_CASE("impossible values are refused")
{
    const auto changes = [](const std::string &tail) {
        return decodeChanges(std::string("\x16\x02\x16\x04", 4) + tail).status().code();
    };
    CHECK(decodeChanges(std::string("\x16\x02\x16\x04\x15\x00\x00", 7)).ok());
    // 2^31-1 changes, a negative count, a name of 2^27 bytes.
    CHECK(changes(std::string("\x15\xfe\xff\xff\xff\x0f\x00", 7)) == absl::StatusCode::kDataLoss);
    CHECK(changes(std::string("\x15\x01\x00", 3)) == absl::StatusCode::kDataLoss);
    CHECK(changes(std::string("\x15\x02\x00\x16\x02\x15\x00\x18\x80\x80\x80\x40", 12))
          == absl::StatusCode::kDataLoss);
    auto update = FleetUpdate{.revision = 1, .changes = {FleetChange{.revision = 1, .name = "a"}}};
    update.changes[0].kind = static_cast<ObjectKind>(99);
    CHECK_FALSE(decodeChanges(encodeChanges(update)).ok());
    update.changes[0].kind = ObjectKind::Key;
    update.changes[0].object = Service{.name = "a"};
    CHECK_FALSE(decodeChanges(encodeChanges(update)).ok());
    CHECK_FALSE(decodeCommand("").ok());
    CHECK_FALSE(decodeCommand(std::string(1, '\0')).ok());
}

} // namespace auburnrail
