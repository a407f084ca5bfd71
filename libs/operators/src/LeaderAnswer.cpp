#include "LeaderAnswer.h"

#include <utility>

namespace auburnrail::detail {

auto LeaderAnswer::toOutput(bool json, std::string done) const -> ProgramOutput
{
    if (json && !this->body.empty())
        return ProgramOutput{this->code, this->body + "\n", ""};
    if (this->code == ExitCode::Done)
        return ProgramOutput{this->code, std::move(done), ""};
    return ProgramOutput{this->code, "", this->error + "\n"};
}

} // namespace auburnrail::detail
