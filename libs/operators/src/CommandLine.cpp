#include "CommandLine.h"

#include "Explanation.h"
#include "ObjectOption.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <sstream>

namespace auburnrail::detail {

namespace {

constexpr auto DESCRIPTION = "Operates an auburnrail fleet.";
constexpr auto FOOTER =
    "Exit codes: 0 done; 1 refused, nothing changed; 2 usage or bad input, nothing was sent;\n"
    "3 no control member available, nothing changed; 4 unknown: repeat the command with the same\n"
    "--command-id, which takes effect once at most.";

/// Adds a subcommand that records its noun and verb.
auto addVerb(CLI::App &noun, const std::string &verb, const std::string &meaning,
             Invocation &invocation) -> CLI::App &
{
    auto *command = noun.add_subcommand(verb, meaning);
    command->fallthrough();
    command->callback([&invocation, name = noun.get_name(), verb] {
        invocation.noun = name;
        invocation.verb = verb;
    });
    return *command;
}

auto addNoun(CLI::App &app, const std::string &noun, const std::string &meaning) -> CLI::App &
{
    auto *command = app.add_subcommand(noun, meaning);
    command->fallthrough();
    command->require_subcommand(1);
    return *command;
}

auto addObjectNoun(CLI::App &app, ObjectKind kind, Invocation &invocation) -> CLI::App &
{
    const auto name = std::string(nameOf(kind));
    auto &noun = addNoun(app, name, "Objects of kind " + name);
    addVerb(noun, "show", "Show one", invocation).add_option("name", invocation.name)->required();
    addVerb(noun, "list", "List by labels", invocation)
        .add_option("--selector", invocation.selector, "over the objects' labels");
    addVerb(noun, "delete", "Delete one", invocation)
        .add_option("name", invocation.name)
        ->required();
    if (kind == ObjectKind::Key || kind == ObjectKind::Group)
        return noun;
    auto &set = addVerb(noun, "set", "Create one, or change the given settings", invocation);
    set.add_option("name", invocation.name)->required();
    set.add_option("--label", invocation.labels, "key=value; may be repeated");
    for (const auto &option : objectOptions()) {
        if (option.kind != kind)
            continue;
        set.add_option_function<std::string>(
            std::string(option.flag),
            [&invocation, member = std::string(option.member)](const std::string &value) {
                invocation.members[member] = value;
            },
            std::string(option.meaning));
    }
    return noun;
}

auto addKeyVerbs(CLI::App &noun, Invocation &invocation) -> void
{
    auto &create = addVerb(noun, "create", "Make a key and print it once", invocation);
    create.add_option("organisation", invocation.name)->required();
    create.add_option("--label", invocation.labels, "key=value; may be repeated");
    create.add_option("--secret-file", invocation.secretFile, "file with the cluster secret")
        ->required();
    addVerb(noun, "withdraw", "End a key for good", invocation)
        .add_option("id", invocation.name)
        ->required();
}

auto addGroupVerbs(CLI::App &noun, Invocation &invocation) -> void
{
    addVerb(noun, "loss", "Show what a failover that waits for evidence may lose", invocation)
        .add_option("name", invocation.name)
        ->required();
    auto &accept =
        addVerb(noun, "accept-loss",
                "Promote an endpoint although it may lack acknowledged commits; see group loss",
                invocation);
    accept.add_option("name", invocation.name)->required();
    accept.add_option("--endpoint", invocation.endpoint, "the one to promote")->required();
    accept.add_option("--position", invocation.position, "TERM.INDEX at which it is fenced")
        ->required();
}

auto addZoneVerbs(CLI::App &noun, Invocation &invocation) -> void
{
    addVerb(noun, "evacuate", "Send nothing more to its endpoints", invocation)
        .add_option("name", invocation.name)
        ->required();
    addVerb(noun, "return", "Put its endpoints back into service", invocation)
        .add_option("name", invocation.name)
        ->required();
}

auto addLabelVerbs(CLI::App &app, Invocation &invocation) -> void
{
    auto &noun = addNoun(app, "label", "Labels of any object");
    for (const auto *verb : {"set", "remove"}) {
        const auto isSet = std::string(verb) == "set";
        auto &command =
            addVerb(noun, verb, isSet ? "Set one label" : "Remove one label", invocation);
        command.add_option("kind", invocation.kind)->required();
        command.add_option("name", invocation.name)->required();
        command.add_option(isSet ? "key=value" : "key", invocation.labelArgument)->required();
    }
}

/// Adds a subcommand without verbs.
auto addPlainNoun(CLI::App &app, const std::string &noun, const std::string &meaning,
                  Invocation &invocation) -> CLI::App &
{
    auto *command = app.add_subcommand(noun, meaning);
    command->fallthrough();
    command->callback([&invocation, noun] { invocation.noun = noun; });
    return *command;
}

constexpr auto EXPLANATIONS = std::to_array<Explanation>({
    {"request", "id", "Show what entries recorded of a request"},
    {"refusal", "organisation", "Show the last refusals of an organisation"},
    {"failover", "group", "Show the failovers of a group or an endpoint, and what they relied on"},
    {"selector", "expression", "Show the objects of every kind that a selector matches"},
});

/// Commands on what the fleet did and who is in it.
auto addFleetNouns(CLI::App &app, Invocation &invocation) -> void
{
    auto &explain = addNoun(app, "explain", "Why the fleet did what it did");
    for (const auto &row : EXPLANATIONS) {
        addVerb(explain, row.verb, row.meaning, invocation)
            .add_option(row.argument, invocation.name)
            ->required();
    }
    auto &report = addNoun(app, "report", "Reports");
    addVerb(report, "burn", "Show how fast error budgets are spent", invocation)
        .add_option("--html", invocation.htmlFile, "write the report to this file as one page");
    addPlainNoun(app, "members", "List the control members", invocation);
    addPlainNoun(app, "entries", "List the entries that renewed their lease", invocation);
    auto &promote = addPlainNoun(app, "promote",
                                 "Make an endpoint its group's primary; "
                                 "returns once started, see explain failover",
                                 invocation);
    promote.add_option("group", invocation.name)->required();
    promote.add_option("endpoint", invocation.endpoint)->required();
}

auto addOtherNouns(CLI::App &app, Invocation &invocation) -> void
{
    auto &selector = addNoun(app, "selector", "Selectors");
    auto &test = addVerb(selector, "test", "Show what an expression matches", invocation);
    test.add_option("expression", invocation.name)->required();
    test.add_option("--label", invocation.labels, "match these instead of the fleet's objects");
    test.add_option("--kind", invocation.kind, "objects to match, default organisation");
    addFleetNouns(app, invocation);
    auto &check = addPlainNoun(app, "check", "Check a settings file", invocation);
    check.add_option("file", invocation.name)->required();
    check.add_option("--program", invocation.program, "entry, control or standin")->required();
    auto &config = addNoun(app, "config", "Whole configurations");
    auto &review = addVerb(config, "check",
                           "Check a configuration before it is sent: exit code 0 sound, 1 entries "
                           "that never match or limits that contradict each other, 2 errors",
                           invocation);
    review.add_option("file", invocation.name)->required();
    review.add_option("--against", invocation.against,
                      "file to compare with; default: what is in force at --control");
    addPlainNoun(app, "status", "Show the status of a control member", invocation);
}

} // namespace

auto parseCommandLine(std::vector<std::string> arguments) -> std::variant<Invocation, ProgramOutput>
{
    auto invocation = Invocation();
    auto app = CLI::App(DESCRIPTION, "auburnrail");
    app.footer(FOOTER);
    app.require_subcommand(1);
    app.add_flag("--json", invocation.json, "print JSON");
    app.add_option("--control", invocation.control,
                   "IP:port of the control members, joined by commas; or AUBURNRAIL_CONTROL");
    app.add_option("--command-id", invocation.commandId, "repeat an earlier command");
    app.add_option("--expect-revision", invocation.expectedRevision,
                   "refuse unless the object is at this revision; 0: does not exist");
    app.add_option("--time-limit-s", invocation.timeLimitS, "seconds, default 15")
        ->check(CLI::Range(1, 3600));
    for (const auto &row : ENUM_NAMES<ObjectKind>) {
        auto &noun = addObjectNoun(app, row.value, invocation);
        if (row.value == ObjectKind::Key)
            addKeyVerbs(noun, invocation);
        if (row.value == ObjectKind::Endpoint) {
            addVerb(noun, "leave", "Give it no new work", invocation)
                .add_option("name", invocation.name)
                ->required();
        }
        if (row.value == ObjectKind::Group)
            addGroupVerbs(noun, invocation);
        if (row.value == ObjectKind::Zone)
            addZoneVerbs(noun, invocation);
    }
    addLabelVerbs(app, invocation);
    addOtherNouns(app, invocation);
    try {
        std::reverse(arguments.begin(), arguments.end());
        app.parse(std::move(arguments));
    } catch (const CLI::ParseError &error) {
        auto out = std::ostringstream();
        auto err = std::ostringstream();
        const auto isHelp = app.exit(error, out, err) == 0;
        return ProgramOutput{isHelp ? ExitCode::Done : ExitCode::BadInput, out.str(), err.str()};
    }
    return invocation;
}

} // namespace auburnrail::detail
