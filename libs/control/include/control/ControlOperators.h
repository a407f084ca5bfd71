#ifndef AUBURNRAIL_CONTROL_CONTROLOPERATORS_H
#define AUBURNRAIL_CONTROL_CONTROLOPERATORS_H

#include <control/ControlOperatorsHooks.h>
#include <control/ControlTables.h>
#include <control/LossService.h>

#include <http/HttpServer.h>
#include <operators/OperatorHooks.h>
#include <operators/SubmitAnswer.h>
#include <settings/ControlSettings.h>

#include <absl/status/status.h>

namespace auburnrail {

/// The operators' port of a control member: commands, state, status, explanations, reports, metrics
/// and health.
class ControlOperators
{
public:
    /// `controlTables` must outlive this object.
    ControlOperators(const ControlSettings &settings, ControlTables &controlTables,
                     ControlOperatorsHooks operatorsHooks);

    /// Starts to listen. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    auto stop() -> void;

    /// Sets a handler that is called first for each request. Must be called before start().
    auto setFrontEnd(std::function<auto(const HttpRequest &)->std::optional<HttpResponse>> handler)
        -> void;

    /// Nothing when this member leads; else the leader's operators' address, empty when unknown.
    [[nodiscard]] auto addressOfOtherLeader() const -> std::optional<std::string>;

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto makeHooks() -> OperatorHooks;
    [[nodiscard]] auto makeLossHooks() -> LossServiceHooks;
    [[nodiscard]] auto submit(const Command &command) -> SubmitAnswer;

    /// Refusal of a command on a zone that nothing is in; nothing for any other command.
    [[nodiscard]] auto zoneProblemOf(const Command &command) -> std::optional<CommandResult>;
    [[nodiscard]] auto status() -> ControlStatus;
    [[nodiscard]] auto addressOfLeader() const -> std::string;
    [[nodiscard]] auto explainFailover(const std::string &group) -> HttpResponse;
    /// Report of the error budget burn that this member knows of; `format` is json, text or html,
    /// and json when empty.
    [[nodiscard]] auto reportBurn(const std::string &format) -> HttpResponse;
    [[nodiscard]] auto promote(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto listMembers() -> HttpResponse;
    [[nodiscard]] auto listEntries() -> HttpResponse;

    const ControlSettings settings;
    ControlTables &tables;
    const ControlOperatorsHooks hooks;
    const OperatorHooks operatorHooks;
    const LossService losses;
    std::function<auto(const HttpRequest &)->std::optional<HttpResponse>> frontEnd;
    HttpServer server;
};

} // namespace auburnrail

#endif
