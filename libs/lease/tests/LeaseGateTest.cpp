#include <lease/LeaseGate.h>

#include <catch2/catch.hpp>

#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto START = TimePoint(1000s);

struct Fixture
{
    auto await(TimePoint deadline, TimePoint now) -> void
    {
        this->gate.await(deadline, now, [this](bool held) { this->outcomes.push_back(held); });
    }

    LeaseGate gate{START};
    std::vector<bool> outcomes;
};

} // namespace

// Guards against refused requests during the election after a fleet restart, which takes about 1 s.
TEST_CASE("callers of an entry that has just started wait for its first lease")
{
    auto fixture = Fixture();
    fixture.await(START + 1500ms, START + 10ms);
    fixture.await(START + 1500ms, START + 20ms);
    fixture.gate.advance(START + 1400ms);
    CHECK(fixture.outcomes.empty());
    fixture.gate.granted();
    CHECK(fixture.outcomes == std::vector<bool>{true, true});
}

// Guards against holding a request past the deadline of its caller.
TEST_CASE("a wait for the lease ends at its deadline")
{
    auto fixture = Fixture();
    fixture.await(START + 500ms, START);
    fixture.gate.advance(START + 499ms);
    CHECK(fixture.outcomes.empty());
    fixture.gate.advance(START + 500ms);
    CHECK(fixture.outcomes == std::vector<bool>{false});
}

// Guards against delaying callers at an entry that has long been disconnected from control.
TEST_CASE("an entry that has been without a lease for long refuses callers immediately")
{
    auto fixture = Fixture();
    const auto late = START + LeaseGate::EXPECTED_WITHIN_MS;
    fixture.await(late + 1s, late);
    CHECK(fixture.outcomes == std::vector<bool>{false});
}

// Guards against measuring a later period without a lease from the start of the entry.
TEST_CASE("each period without a lease counts from when it was detected")
{
    auto fixture = Fixture();
    fixture.gate.granted();
    fixture.await(START + 61s, START + 60s);
    CHECK(fixture.outcomes.empty());
    fixture.await(START + 70s, START + 60s + LeaseGate::EXPECTED_WITHIN_MS);
    CHECK(fixture.outcomes == std::vector<bool>{false});
    fixture.gate.granted();
    CHECK(fixture.outcomes == std::vector<bool>{false, true});
}

} // namespace auburnrail
