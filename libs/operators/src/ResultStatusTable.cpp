#include "ResultStatusTable.h"

namespace auburnrail::detail {

auto httpStatusOf(const SubmitAnswer &answer) -> int
{
    switch (answer.status) {
    case SubmitStatus::Decided:
        break;
    case SubmitStatus::NotLeader:
        return HTTP_MISDIRECTED;
    case SubmitStatus::NotRun:
        return 503;
    case SubmitStatus::Unknown:
        return 504;
    }
    switch (answer.result.status) {
    case CommandStatus::Applied:
        return HTTP_OK;
    case CommandStatus::NotFound:
        return 404;
    case CommandStatus::Invalid:
        return HTTP_BAD_REQUEST;
    case CommandStatus::Conflict:
    case CommandStatus::AlreadyExists:
    case CommandStatus::InUse:
    case CommandStatus::WrongTerm:
    case CommandStatus::TooOld:
        return 409;
    }
    return 500;
}

} // namespace auburnrail::detail
