#ifndef AUBURNRAIL_OPERATORS_OPERATORPROGRAM_H
#define AUBURNRAIL_OPERATORS_OPERATORPROGRAM_H

#include <operators/ProgramHooks.h>
#include <operators/ProgramOutput.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Runs the program `auburnrail` with its arguments, without the program's name.
[[nodiscard]] auto runOperatorProgram(const ProgramHooks &hooks, std::vector<std::string> arguments)
    -> ProgramOutput;

} // namespace auburnrail

#endif
