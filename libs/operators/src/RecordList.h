#ifndef AUBURNRAIL_OPERATORS_RECORDLIST_H
#define AUBURNRAIL_OPERATORS_RECORDLIST_H

#include <Poco/JSON/Array.h>

#include <string>
#include <vector>

namespace auburnrail::detail {

/// Records of several instances, as JSON objects, put together under one member name.
class RecordList
{
public:
    explicit RecordList(std::string member);

    /// Adds the records of one response body; a body that is no such JSON object adds nothing.
    auto add(const std::string &body) -> void;

    /// Names an instance that gave no answer, so that its records may be missing.
    auto addUnanswered(std::string instance) -> void;

    /// Puts the greatest value of an integer member first.
    auto sortDescending(const std::string &integerMember) -> void;

    [[nodiscard]] auto empty() const -> bool;
    [[nodiscard]] auto isComplete() const -> bool;

    /// One object with the records, and the member `unanswered` when some are missing.
    [[nodiscard]] auto toJson() const -> std::string;

    /// A line for each record; a list inside it follows on indented lines.
    [[nodiscard]] auto toText() const -> std::string;

private:
    std::string member;
    std::vector<Poco::Dynamic::Var> records;
    std::vector<std::string> unanswered;
};

} // namespace auburnrail::detail

#endif
