#ifndef AUBURNRAIL_OPERATORS_EXITCODE_H
#define AUBURNRAIL_OPERATORS_EXITCODE_H

namespace auburnrail {

/// Exit codes of the program `auburnrail`; the numbers are part of its interface.
enum class ExitCode : int {
    Done = 0,
    Refused = 1,     ///< The state's rules refuse it; nothing changed.
    BadInput = 2,    ///< Usage, or a value that can't be read; nothing was sent.
    Unavailable = 3, ///< No control member could take it; nothing changed.
    Unknown = 4,     ///< It may have taken effect: repeat it with the same --command-id.
};

} // namespace auburnrail

#endif
