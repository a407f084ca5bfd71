#ifndef AUBURNRAIL_CONTROL_EVACUATIONSERVICE_H
#define AUBURNRAIL_CONTROL_EVACUATIONSERVICE_H

#include <control/ControlTables.h>

#include <absl/status/status.h>

#include <string>

namespace auburnrail {

/// Evacuates availability zones and returns them to service. The order is an object of the fleet
/// state, beside the configuration and untouched by a new one. Safe from any thread.
class EvacuationService
{
public:
    /// Longest wait for an order to be in force; as for a configuration.
    static constexpr auto TIME_LIMIT_MS = std::chrono::milliseconds(3500);

    /// `controlTables` must outlive this object.
    explicit EvacuationService(ControlTables &controlTables);

    /// See ControlFrontEndHooks::setEvacuated. An order that is in force already is acknowledged
    /// again. Blocks for at most TIME_LIMIT_MS.
    [[nodiscard]] auto set(const std::string &zone, bool evacuated) -> absl::Status;

private:
    [[nodiscard]] auto setAndAwait(const std::string &zone, bool evacuated) -> absl::Status;

    ControlTables &tables;
};

} // namespace auburnrail

#endif
