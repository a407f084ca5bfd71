#ifndef AUBURNRAIL_OPERATORS_FLEETQUERY_H
#define AUBURNRAIL_OPERATORS_FLEETQUERY_H

#include "Invocation.h"

#include <operators/OperatorClient.h>
#include <operators/ProgramHooks.h>
#include <operators/ProgramOutput.h>

#include <string>
#include <vector>

namespace auburnrail::detail {

/// One run of `explain`, `report`, `members`, `entries` or `promote`, which ask several instances.
class FleetQuery
{
public:
    /// Whether the invocation is one of these commands.
    [[nodiscard]] static auto takes(const Invocation &invocation) -> bool;

    /// `addresses` are the operators' ports of control members; at least one. The references must
    /// outlive this object.
    FleetQuery(const ProgramHooks &hooks, const Invocation &invocation,
               std::vector<std::string> addresses);

    [[nodiscard]] auto run() -> ProgramOutput;

private:
    [[nodiscard]] auto explain() -> ProgramOutput;

    /// What every entry recorded, by `path` with one query parameter.
    [[nodiscard]] auto explainByEntries(const std::string &path, const std::string &parameter)
        -> ProgramOutput;
    [[nodiscard]] auto explainFailover() -> ProgramOutput;
    [[nodiscard]] auto explainSelector() -> ProgramOutput;
    [[nodiscard]] auto reportBurn() -> ProgramOutput;
    [[nodiscard]] auto listMembers() -> ProgramOutput;
    [[nodiscard]] auto listEntries() -> ProgramOutput;
    [[nodiscard]] auto promote() -> ProgramOutput;

    /// The longest answer of all members; only the leader hears entries.
    [[nodiscard]] auto entriesBody() -> absl::StatusOr<std::string>;

    const ProgramHooks &hooks;
    const Invocation &invocation;
    std::vector<std::string> addresses;
    Duration limit;
    OperatorClient client;
};

} // namespace auburnrail::detail

#endif
