#ifndef AUBURNRAIL_TESTS_FLEETFIXTURE_H
#define AUBURNRAIL_TESTS_FLEETFIXTURE_H

#include <processtest/TestFleet.h>

#include <core/Time.h>

#include <string>

namespace auburnrail {

/// Settings of a fleet of the programs under test.
[[nodiscard]] auto fleetSettings() -> TestFleetSettings;

/// Creates the organisation `name` with a key, the service `logs` on the group `logs`, and a route
/// for all organisations. Returns the key.
[[nodiscard]] auto configure(TestFleet &fleet, const std::string &name, int rate, int burst)
    -> std::string;

/// A request to the service `logs` with a deadline `limit` from now.
[[nodiscard]] auto request(const std::string &key, AccessMode mode, const std::string &statement,
                           Duration limit) -> CallerRequest;

/// Waits until a write through `entry` succeeds. Returns the answer of the last try.
[[nodiscard]] auto writeEventually(TestFleet &fleet, const std::string &entry,
                                   const std::string &key, const std::string &statement)
    -> CallerResponse;

/// How often `part` stands in `text`.
[[nodiscard]] auto countOf(const std::string &text, const std::string &part) -> int;

} // namespace auburnrail

#endif
