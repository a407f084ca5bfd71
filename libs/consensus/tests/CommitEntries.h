#ifndef AUBURNRAIL_CONSENSUS_TESTS_COMMITENTRIES_H
#define AUBURNRAIL_CONSENSUS_TESTS_COMMITENTRIES_H

#include "SimulatedCluster.h"

#include <catch2/catch.hpp>

namespace auburnrail::testing {

/// Proposes `count` entries and runs the cluster until all of them are committed.
inline auto commitEntries(SimulatedCluster &cluster, std::size_t count) -> void
{
    const auto before = cluster.committed.size();
    for (auto number = std::size_t(0); number < count; ++number) {
        REQUIRE(cluster.propose("e" + std::to_string(before + number) + ";"));
        if (number % 50 == 0)
            cluster.run(std::chrono::milliseconds(5));
    }
    REQUIRE(cluster.runUntil([&] { return cluster.committed.size() == before + count; },
                             std::chrono::seconds(10)));
}

} // namespace auburnrail::testing

#endif
