#ifndef AUBURNRAIL_CONTROL_CONFIGURATIONSERVICE_H
#define AUBURNRAIL_CONTROL_CONFIGURATIONSERVICE_H

#include <control/ControlTables.h>

#include <state/ReplaceConfiguration.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

/// Puts whole configurations in force and reads the newest one back. Safe from any thread.
class ConfigurationService
{
public:
    /// Longest wait for a configuration to be in force. Longer than a lease, so that the lease of a
    /// crashed entry expires within the wait and the outcome is still known.
    static constexpr auto TIME_LIMIT_MS = std::chrono::milliseconds(3500);

    /// `controlTables` must outlive this object.
    explicit ConfigurationService(ControlTables &controlTables);

    /// See ControlFrontEndHooks::replaceConfiguration. Blocks for at most TIME_LIMIT_MS.
    [[nodiscard]] auto replace(ReplaceConfiguration configuration) -> absl::Status;

    /// See ControlFrontEndHooks::readConfiguration.
    [[nodiscard]] auto read() -> absl::StatusOr<std::string>;

private:
    [[nodiscard]] auto replaceAndAwait(ReplaceConfiguration configuration) -> absl::Status;

    ControlTables &tables;
};

} // namespace auburnrail

#endif
