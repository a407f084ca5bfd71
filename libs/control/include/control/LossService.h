#ifndef AUBURNRAIL_CONTROL_LOSSSERVICE_H
#define AUBURNRAIL_CONTROL_LOSSSERVICE_H

#include <control/LossServiceHooks.h>

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <optional>
#include <string>

namespace auburnrail {

/// Shows operators what a failover that waits for evidence would lose, and takes their decision to
/// accept it. Safe from any thread.
class LossService
{
public:
    explicit LossService(LossServiceHooks hooks);

    /// Answers `GET /v1/loss?group=NAME` and `POST /v1/accept-loss`; nothing for other requests.
    /// HTTP status of a decision: 200 taken, 400 a value that can't be read, 404 the endpoint isn't
    /// fenced, 409 nothing waits or another position, 503 this member does not lead.
    [[nodiscard]] auto handle(const HttpRequest &request) const -> std::optional<HttpResponse>;

private:
    [[nodiscard]] auto show(const std::string &group) const -> HttpResponse;
    [[nodiscard]] auto accept(const HttpRequest &request) const -> HttpResponse;
    [[nodiscard]] auto refuseWithoutLeadership() const -> HttpResponse;

    const LossServiceHooks hooks;
};

} // namespace auburnrail

#endif
