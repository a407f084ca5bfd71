#ifndef AUBURNRAIL_OPERATORS_OPERATORHANDLER_H
#define AUBURNRAIL_OPERATORS_OPERATORHANDLER_H

#include <operators/OperatorHooks.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <optional>

namespace auburnrail {

/// Answers `POST /v1/commands`, `GET /v1/state` and `GET /v1/status`; nothing for other paths,
/// which the daemon serves itself. Safe from any thread when the hooks are.
[[nodiscard]] auto handleOperatorRequest(const OperatorHooks &hooks, const HttpRequest &request)
    -> std::optional<HttpResponse>;

} // namespace auburnrail

#endif
