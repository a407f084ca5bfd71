#ifndef AUBURNRAIL_OPERATORS_LEADERANSWER_H
#define AUBURNRAIL_OPERATORS_LEADERANSWER_H

#include <operators/ExitCode.h>
#include <operators/ProgramOutput.h>

#include <string>

namespace auburnrail::detail {

/// What became of an order that was sent to the leading control member once.
struct LeaderAnswer
{
    ExitCode code = ExitCode::Done;
    std::string body;  ///< Of the response; empty if there was none.
    std::string error; ///< Filled unless done.

    /// `done` is printed if the order was carried out; with `json` the body is, whatever it says.
    [[nodiscard]] auto toOutput(bool json, std::string done) const -> ProgramOutput;
};

} // namespace auburnrail::detail

#endif
