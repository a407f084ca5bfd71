#ifndef AUBURNRAIL_OPERATORS_COMMANDJSON_H
#define AUBURNRAIL_OPERATORS_COMMANDJSON_H

#include <operators/SubmitAnswer.h>

#include <http/HttpResponse.h>
#include <state/Command.h>

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

/// Body of `POST /v1/commands`:
/// `{"id","base_revision","expected_revision","operator","command":{"type",...}}`.
/// The types grant-term and publish-primary do not exist here: terms are the coordinator's.
[[nodiscard]] auto encodeCommandJson(const Command &command) -> std::string;

/// `kInvalidArgument` with every finding of the body.
[[nodiscard]] auto decodeCommandJson(const std::string &body) -> absl::StatusOr<Command>;

/// Response of `POST /v1/commands`. HTTP status: 200 applied, 4xx refused, 421 with
/// `{"leader":"IP:port"}` when another member leads, 503 not run, 504 unknown.
[[nodiscard]] auto encodeSubmitAnswer(const SubmitAnswer &answer) -> HttpResponse;

/// Anything that is not such a response is Unknown.
[[nodiscard]] auto decodeSubmitAnswer(const HttpResponse &response) -> SubmitAnswer;

} // namespace auburnrail

#endif
