#ifndef AUBURNRAIL_OPERATORS_COMMANDLINE_H
#define AUBURNRAIL_OPERATORS_COMMANDLINE_H

#include "Invocation.h"

#include <operators/ProgramOutput.h>

#include <string>
#include <variant>
#include <vector>

namespace auburnrail::detail {

/// Parses the program's arguments; help and faults of usage are outputs that end the program.
[[nodiscard]] auto parseCommandLine(std::vector<std::string> arguments)
    -> std::variant<Invocation, ProgramOutput>;

} // namespace auburnrail::detail

#endif
