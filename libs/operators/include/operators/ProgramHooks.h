#ifndef AUBURNRAIL_OPERATORS_PROGRAMHOOKS_H
#define AUBURNRAIL_OPERATORS_PROGRAMHOOKS_H

#include <operators/ClientHooks.h>

#include <state/ReplaceConfiguration.h>

#include <core/Findings.h>
#include <core/RandomSource.h>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>

namespace auburnrail {

/// Surroundings of the operators' program.
struct ProgramHooks
{
    ClientHooks client;
    RandomSource random; ///< Secure; for keys and command ids.
    std::function<auto(const std::string &path)->absl::StatusOr<std::string>> readFile;
    std::function<auto(const std::string &path, const std::string &text)->absl::Status> writeFile;

    /// Checks of settings files, by program name; each adds its findings.
    std::map<std::string, std::function<auto(const std::string &path, Findings &)->void>> checks;

    /// Reads a whole configuration as control does. May be empty where there is none.
    std::function<auto(const std::string &text)->absl::StatusOr<ReplaceConfiguration>>
        parseConfiguration;
    std::string configurationTarget; ///< Where control members return the one in force.

    std::string operatorName;
    std::string controlAddresses; ///< From AUBURNRAIL_CONTROL; --control goes first.
};

} // namespace auburnrail

#endif
