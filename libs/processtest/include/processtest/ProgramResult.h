#ifndef AUBURNRAIL_PROCESSTEST_PROGRAMRESULT_H
#define AUBURNRAIL_PROCESSTEST_PROGRAMRESULT_H

#include <string>

namespace auburnrail {

/// End of one run of a program.
struct ProgramResult
{
    int exitStatus = -1;
    std::string output; ///< Standard output and error.
};

} // namespace auburnrail

#endif
