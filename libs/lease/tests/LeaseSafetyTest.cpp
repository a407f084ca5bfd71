#include "LeaseSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

// Guards against a change that is reported in force while an instance still serves older state,
// under lost, duplicated and delayed messages, restarts, leader changes and clock drift.
TEST_CASE("no holder serves a state older than one found in force")
{
    CHECK(rc::check("leases are safe", [](std::uint64_t seed) {
        auto simulation = LeaseSimulation(seed);
        simulation.run(std::chrono::seconds(30));
        RC_ASSERT(simulation.violations() == 0U);
        RC_ASSERT(simulation.inForce() > 0U);
    }));
}

// Guards against lease rules so strict that no change comes into force even in a healthy fleet.
TEST_CASE("changes come into force within 4 seconds without faults")
{
    auto simulation = LeaseSimulation(1);
    simulation.setFaults(false);
    simulation.run(std::chrono::seconds(30));
    CHECK(simulation.violations() == 0U);
    CHECK(simulation.committed() - simulation.inForce() <= 4U);
}

} // namespace auburnrail
