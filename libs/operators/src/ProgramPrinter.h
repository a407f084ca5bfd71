#ifndef AUBURNRAIL_OPERATORS_PROGRAMPRINTER_H
#define AUBURNRAIL_OPERATORS_PROGRAMPRINTER_H

#include <operators/ProgramOutput.h>
#include <operators/SubmitAnswer.h>

#include <core/Findings.h>
#include <core/Revision.h>

#include <absl/status/status.h>

#include <string>

namespace auburnrail::detail {

/// What a command came to, with its id, and the text of a created key unless it was refused.
[[nodiscard]] auto printAnswer(const SubmitAnswer &answer, const std::string &commandId,
                               const std::string &keyText, bool json) -> ProgramOutput;

/// A response body: as it is with `json`, else a line for each object of a list, or its text.
[[nodiscard]] auto printBody(const std::string &body, bool json, bool isList) -> ProgramOutput;

[[nodiscard]] auto printFindings(const Findings &findings, bool json) -> ProgramOutput;
[[nodiscard]] auto printMatch(bool matches, bool json) -> ProgramOutput;

/// A query that got no usable response.
[[nodiscard]] auto printFailure(const absl::Status &status) -> ProgramOutput;

/// Member `revision` of a response body.
[[nodiscard]] auto revisionIn(const std::string &body) -> Revision;

/// Revision of an object's JSON text; 0 for "{}".
[[nodiscard]] auto changedAtIn(const std::string &object) -> Revision;

/// JSON text of the first object of a listing; "{}" when there is none.
[[nodiscard]] auto firstObjectIn(const std::string &body) -> std::string;

} // namespace auburnrail::detail

#endif
