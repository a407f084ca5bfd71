#ifndef AUBURNRAIL_OPERATORS_CONFIGURATIONCHECK_H
#define AUBURNRAIL_OPERATORS_CONFIGURATIONCHECK_H

#include "Invocation.h"

#include <operators/ProgramHooks.h>
#include <operators/ProgramOutput.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace auburnrail::detail {

/// Runs `config check FILE`. `readInForce` returns the text of the configuration in force; it is
/// called only without `--against` and may be empty: then nothing is compared.
[[nodiscard]] auto
checkConfigurationFile(const ProgramHooks &hooks, const Invocation &invocation,
                       const std::function<auto()->absl::StatusOr<std::string>> &readInForce)
    -> ProgramOutput;

} // namespace auburnrail::detail

#endif
