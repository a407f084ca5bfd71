#ifndef AUBURNRAIL_OPERATORS_PROGRAMOUTPUT_H
#define AUBURNRAIL_OPERATORS_PROGRAMOUTPUT_H

#include <operators/ExitCode.h>

#include <string>

namespace auburnrail {

/// What the program prints, and how it ends.
struct ProgramOutput
{
    ExitCode code = ExitCode::Done;
    std::string out;
    std::string err;
};

} // namespace auburnrail

#endif
