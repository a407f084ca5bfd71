#include <operators/OperatorProgram.h>

#include "CommandLine.h"
#include "CommandMaker.h"
#include "ConfigurationCheck.h"
#include "FleetQuery.h"
#include "LossQuery.h"
#include "ProgramPrinter.h"

#include <operators/CommandJson.h>
#include <operators/OperatorClient.h>
#include <operators/StateQuery.h>
#include <settings/ClusterSecret.h>
#include <state/KeySecret.h>

#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace auburnrail {

namespace {

using detail::Invocation;

constexpr auto NO_CONTROL = "no control members: give --control or set AUBURNRAIL_CONTROL\n";

auto badInput(std::string message) -> ProgramOutput
{
    return ProgramOutput{ExitCode::BadInput, "", std::move(message)};
}

/// One run of the program, after its arguments were parsed.
class ProgramRun
{
public:
    ProgramRun(const ProgramHooks &hooks, Invocation invocation)
        : hooks(hooks)
        , invocation(std::move(invocation))
        , limit(std::chrono::seconds(this->invocation.timeLimitS))
    {
        const auto &text =
            this->invocation.control.empty() ? hooks.controlAddresses : this->invocation.control;
        this->addresses = absl::StrSplit(text, ',', absl::SkipEmpty());
    }

    auto run() -> ProgramOutput
    {
        if (this->invocation.noun == "check")
            return this->check();
        if (this->invocation.noun == "config")
            return this->checkConfiguration();
        if (this->invocation.noun == "selector")
            return this->testSelector();
        if (this->addresses.empty())
            return badInput(NO_CONTROL);
        if (detail::FleetQuery::takes(this->invocation))
            return detail::FleetQuery(this->hooks, this->invocation, this->addresses).run();
        if (detail::LossQuery::takes(this->invocation))
            return detail::LossQuery(this->hooks, this->invocation, this->addresses).run();
        if (this->invocation.noun == "status")
            return this->show("/v1/status", false);
        if (this->invocation.verb == "show" || this->invocation.verb == "list")
            return this->list();
        if (this->invocation.verb == "set" && this->invocation.noun != "label")
            return this->setObject();
        if (this->invocation.verb == "create")
            return this->createKey();
        auto findings = Findings();
        auto body = detail::makeCommandBody(this->invocation, findings);
        if (!findings.empty() || !body)
            return badInput(findings.toString());
        const auto status = this->get("/v1/status");
        if (!status.ok())
            return detail::printFailure(status.status());
        return this->submit(std::move(*body), detail::revisionIn(*status), std::nullopt, "");
    }

private:
    auto get(const std::string &target) -> absl::StatusOr<std::string>
    {
        return OperatorClient(this->hooks.client, this->addresses).get(target, this->limit);
    }

    auto show(const std::string &target, bool isList) -> ProgramOutput
    {
        const auto body = this->get(target);
        if (!body.ok())
            return detail::printFailure(body.status());
        return detail::printBody(*body, this->invocation.json, isList);
    }

    auto check() -> ProgramOutput
    {
        const auto found = this->hooks.checks.find(this->invocation.program);
        if (found == this->hooks.checks.end())
            return badInput("no settings check for program '" + this->invocation.program + "'\n");
        auto findings = Findings();
        found->second(this->invocation.name, findings);
        return detail::printFindings(findings, this->invocation.json);
    }

    auto checkConfiguration() -> ProgramOutput
    {
        if (!this->hooks.parseConfiguration)
            return badInput("this program reads no whole configurations\n");
        auto readInForce = std::function<auto()->absl::StatusOr<std::string>>();
        if (!this->addresses.empty())
            readInForce = [this] {
                return this->get(this->hooks.configurationTarget);
            };
        return detail::checkConfigurationFile(this->hooks, this->invocation, readInForce);
    }

    /// Matches the given labels, or without any the objects of the fleet.
    auto testSelector() -> ProgramOutput
    {
        auto findings = Findings();
        auto query = StateQuery{.kind = ObjectKind::Organisation};
        query.selector = Selector::parse(this->invocation.name, "selector", findings);
        if (!this->invocation.kind.empty())
            query.kind = detail::parseKind(this->invocation.kind, findings);
        const auto labels = detail::parseLabels(this->invocation.labels, findings);
        if (!findings.empty())
            return detail::printFindings(findings, this->invocation.json);
        if (!labels.empty())
            return detail::printMatch(query.selector.matches(labels), this->invocation.json);
        if (this->addresses.empty())
            return badInput(NO_CONTROL);
        return this->show(targetOf(query), true);
    }

    auto list() -> ProgramOutput
    {
        auto findings = Findings();
        auto query = StateQuery{.kind = detail::parseKind(this->invocation.noun, findings),
                                .name = this->invocation.name};
        query.selector = Selector::parse(this->invocation.selector, "--selector", findings);
        if (!findings.empty())
            return detail::printFindings(findings, this->invocation.json);
        const auto isList = this->invocation.verb == "list";
        const auto body = this->get(targetOf(query));
        if (!body.ok())
            return detail::printFailure(body.status());
        if (!isList && detail::firstObjectIn(*body) == "{}") {
            return ProgramOutput{ExitCode::Refused, "",
                                 "no " + this->invocation.noun + " " + query.name + "\n"};
        }
        return detail::printBody(*body, this->invocation.json, isList);
    }

    /// Reads the object, changes the given settings, and sets it unless another changed it since.
    auto setObject() -> ProgramOutput
    {
        auto findings = Findings();
        const auto query = StateQuery{.kind = detail::parseKind(this->invocation.noun, findings),
                                      .name = this->invocation.name};
        const auto body = this->get(targetOf(query));
        if (!body.ok())
            return detail::printFailure(body.status());
        const auto existing = detail::firstObjectIn(*body);
        auto object = detail::makeObject(this->invocation, existing, findings);
        if (!findings.empty())
            return detail::printFindings(findings, this->invocation.json);
        return this->submit(SetObject{std::move(object)}, detail::revisionIn(*body),
                            detail::changedAtIn(existing), "");
    }

    auto createKey() -> ProgramOutput
    {
        auto findings = Findings();
        const auto labels = detail::parseLabels(this->invocation.labels, findings);
        const auto file = this->hooks.readFile(this->invocation.secretFile);
        const auto secret = parseClusterSecret(file.ok() ? *file : "", this->invocation.secretFile);
        if (!secret.ok()) {
            findings.add(Place{"argument", 0, "", "--secret-file"},
                         std::string(secret.status().message()));
        }
        // A repeated id would carry another random key, and print a text that does not work.
        if (!this->invocation.commandId.empty())
            findings.add(Place{"argument", 0, "", "--command-id"}, "does not go with key create");
        if (!findings.empty())
            return detail::printFindings(findings, this->invocation.json);
        const auto status = this->get("/v1/status");
        if (!status.ok())
            return detail::printFailure(status.status());
        const auto key = makeKey(this->hooks.random, *secret);
        auto object = Key{.id = key.id,
                          .organisation = this->invocation.name,
                          .hash = key.hash,
                          .labels = labels};
        return this->submit(SetObject{std::move(object)}, detail::revisionIn(*status), std::nullopt,
                            key.text);
    }

    /// `keyText` is printed when the command may have been applied.
    auto submit(CommandBody body, Revision base, std::optional<Revision> read,
                const std::string &keyText) -> ProgramOutput
    {
        auto command = Command{CommandHeader{.commandId = this->invocation.commandId,
                                             .baseRevision = base,
                                             .expectedRevision = read,
                                             .operatorName = this->hooks.operatorName},
                               std::move(body)};
        if (command.header.commandId.empty())
            command.header.commandId = absl::StrFormat("%016x", this->hooks.random());
        if (this->invocation.expectedRevision)
            command.header.expectedRevision = this->invocation.expectedRevision;
        auto client = OperatorClient(this->hooks.client, this->addresses);
        return detail::printAnswer(client.submit(command, this->limit), command.header.commandId,
                                   keyText, this->invocation.json);
    }

    const ProgramHooks &hooks;
    Invocation invocation;
    Duration limit;
    std::vector<std::string> addresses;
};

} // namespace

auto runOperatorProgram(const ProgramHooks &hooks, std::vector<std::string> arguments)
    -> ProgramOutput
{
    auto parsed = detail::parseCommandLine(std::move(arguments));
    if (auto *output = std::get_if<ProgramOutput>(&parsed); output != nullptr)
        return std::move(*output);
    return ProgramRun(hooks, std::move(std::get<Invocation>(parsed))).run();
}

} // namespace auburnrail
