#include <standin/StandInDatabase.h>

#include <core/RankedLock.h>

#include <absl/strings/str_split.h>

#include <vector>

namespace auburnrail {

StandInDatabase::StandInDatabase(bool startsAsPrimary)
    : primary(startsAsPrimary)
{
}

auto StandInDatabase::run(const EndpointRequest &request) -> EndpointAnswer
{
    const RankedLock lock(this->mutex);
    auto answer = EndpointAnswer();
    answer.exchangeId = request.exchangeId;
    if (request.operation == EndpointOperation::Execute)
        this->execute(request, answer);
    answer.position = this->position;
    answer.term = this->term;
    answer.primary = this->primary;
    return answer;
}

auto StandInDatabase::execute(const EndpointRequest &request, EndpointAnswer &answer) -> void
{
    const auto words = std::vector<std::string>(
        absl::StrSplit(request.statement, absl::MaxSplits(' ', 2), absl::SkipEmpty()));
    if (request.mode == AccessMode::Write && !this->primary) {
        answer.refusal = EndpointRefusal::NotPrimary;
    } else if (words.size() == 2 && words[0] == "GET") {
        const auto found = this->values.find(words[1]);
        answer.result = found == this->values.end() ? "" : found->second;
    } else if (words.size() == 3 && request.mode == AccessMode::Write
               && (words[0] == "PUT" || words[0] == "APPEND")) {
        auto &value = this->values[words[1]];
        value = words[0] == "PUT" ? words[2] : value + words[2];
        this->position = Position{this->term, this->position.index + 1};
        answer.result = value;
    } else {
        answer.refusal = EndpointRefusal::BadStatement;
    }
}

} // namespace auburnrail
