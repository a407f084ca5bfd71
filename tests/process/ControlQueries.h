#ifndef AUBURNRAIL_TESTS_CONTROLQUERIES_H
#define AUBURNRAIL_TESTS_CONTROLQUERIES_H

#include <operators/SubmitAnswer.h>
#include <processtest/TestFleet.h>

#include <http/JsonReader.h>
#include <state/Command.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Names of the control members of a fleet of default size.
[[nodiscard]] auto controlNames() -> std::vector<std::string>;

/// Names of the entries of a fleet of default size.
[[nodiscard]] auto entryNames() -> std::vector<std::string>;

/// Answer of `GET target` on the operators' address of a process; nothing when it does not answer
/// with status 200.
[[nodiscard]] auto getJson(const TestFleet &fleet, const std::string &process,
                           const std::string &target) -> std::optional<JsonReader>;

/// Waits for a control member, other than `except`, that leads with a majority. Throws after 60 s.
[[nodiscard]] auto waitForLeader(TestFleet &fleet, const std::string &except = "") -> std::string;

/// Revision that the leader, other than `except`, has applied. Throws after 60 s.
[[nodiscard]] auto leaderRevision(TestFleet &fleet, const std::string &except = "")
    -> std::uint64_t;

/// Revision that the control member has applied; 0 when it does not answer.
[[nodiscard]] auto revisionOf(const TestFleet &fleet, const std::string &control) -> std::uint64_t;

/// Waits until `control` has applied `revision`; false after 60 s.
[[nodiscard]] auto reachesRevision(TestFleet &fleet, const std::string &control,
                                   std::uint64_t revision) -> bool;

/// Value of a label of an organisation as `control` has it; empty when it has none.
[[nodiscard]] auto labelAt(const TestFleet &fleet, const std::string &control,
                           const std::string &organisation, const std::string &label)
    -> std::string;

/// Runs the operators' program until it exits with 0; throws with the last output after 60 s.
/// `words` must be safe to repeat.
auto commandEventually(TestFleet &fleet, const std::vector<std::string> &words) -> std::string;

/// Sends the command to one control member only, without following its hint of another leader.
[[nodiscard]] auto submitTo(const TestFleet &fleet, const std::string &control,
                            const Command &command) -> SubmitAnswer;

} // namespace auburnrail

#endif
