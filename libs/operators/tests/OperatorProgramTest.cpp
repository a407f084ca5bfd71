#include "FakeControl.h"

#include <state/Authorise.h>

#include <catch2/catch.hpp>

namespace auburnrail {

using Fault = FakeControl::Fault;

// Guards against a command that runs twice after a lost answer, or an exit code that says "nothing
// changed" when it may have.
TEST_CASE("the exit code tells what is known of the command")
{
    struct Row
    {
        const char *name;
        std::deque<Fault> script;
        ExitCode expected;
    };
    const auto always = [](Fault fault) {
        return std::deque<Fault>(10000, fault);
    };
    auto lostThenUnreachable = always(Fault::Unreachable);
    lostThenUnreachable.front() = Fault::RequestLost;
    const auto row = GENERATE_COPY(values<Row>({
        {"no fault", {}, ExitCode::Done},
        {"first member down", {Fault::Unreachable}, ExitCode::Done},
        {"answer lost", {Fault::AnswerLost, Fault::AnswerLost}, ExitCode::Done},
        {"leader hint", {Fault::NotLeader}, ExitCode::Done},
        {"all members down", always(Fault::Unreachable), ExitCode::Unavailable},
        {"no leader", always(Fault::NotLeader), ExitCode::Unavailable},
        {"requests lost", always(Fault::RequestLost), ExitCode::Unknown},
        {"one request lost, then down", lostThenUnreachable, ExitCode::Unknown},
    }));
    CAPTURE(row.name);
    auto control = FakeControl();
    control.script = row.script;
    const auto output = control.run({"service", "set", "logs", "--group", "g"});
    CAPTURE(output.out, output.err);
    CHECK(output.code == row.expected);
    CHECK((control.state.objects().find<Service>("logs") != nullptr)
          == (row.expected == ExitCode::Done));
    CHECK(control.state.memory().rows().size() == (row.expected == ExitCode::Done ? 1U : 0U));
    if (row.script.size() == 1 && row.script.front() == Fault::NotLeader)
        CHECK(control.asked.back() == "leader:1");
}

// Guards against an operator's change that overwrites another's, or resets settings not given.
TEST_CASE("set changes only what is given, and not over another operator's change")
{
    auto control = FakeControl();
    CHECK(control.run({"organisation", "set", "o", "--rate", "5", "--burst", "9", "--weight", "2"})
              .code
          == ExitCode::Done);
    CHECK(control.run({"organisation", "set", "o", "--rate", "6", "--label", "tier=gold"}).code
          == ExitCode::Done);
    const auto *organisation = control.state.objects().find<Organisation>("o");
    REQUIRE(organisation != nullptr);
    CHECK(organisation->ratePerSecond == 6);
    CHECK(organisation->burst == 9);
    CHECK(organisation->weight == 2);
    const auto late =
        control.run({"--expect-revision", "1", "organisation", "set", "o", "--rate", "7"});
    CHECK(late.code == ExitCode::Refused);
    CHECK_THAT(late.err, Catch::Contains("conflict") && Catch::Contains("came first"));
    const auto first =
        control.run({"--command-id", "c1", "label", "set", "organisation", "o", "a=b"});
    const auto again =
        control.run({"--command-id", "c1", "label", "set", "organisation", "o", "a=b"});
    CHECK(first.out == again.out);
    CHECK(control.run({"label", "remove", "organisation", "o", "x"}).code == ExitCode::Refused);
    CHECK(control.run({"organisation", "list", "--selector", "tier"}).out == "o\ta=b,tier=gold\n");
    CHECK(control.run({"selector", "test", "tier=silver"}).out.empty());
    CHECK(control.run({"organisation", "delete", "o"}).code == ExitCode::Done);
    CHECK(control.run({"organisation", "show", "o"}).code == ExitCode::Refused);
}

// Guards against settings without an option that a change of another setting resets.
TEST_CASE("set keeps what the command line has no option for")
{
    auto control = FakeControl();
    const auto store = [&control](FleetObject object) {
        const auto revision = control.state.revision();
        const auto command = Command{CommandHeader{.commandId = "c" + std::to_string(revision),
                                                   .baseRevision = revision,
                                                   .operatorName = "test"},
                                     SetObject{std::move(object)}};
        REQUIRE(applyCommand(control.state, command, revision + 1).status
                == CommandStatus::Applied);
    };
    const auto sessions = SessionPolicy{.database = "d", .priority = 3};
    store(Service{
        .name = "s", .group = "g", .connectionLimit = 7, .synchronousReplicas = 2, .labels = {}});
    store(Route{.name = "r", .service = "s", .open = true, .sessions = sessions, .labels = {}});
    store(Endpoint{.name = "e",
                   .group = "g",
                   .zone = "z",
                   .address = "127.0.0.1:5",
                   .leaving = true,
                   .startedAt = 9,
                   .labels = {}});
    CHECK(control.run({"service", "set", "s", "--group", "h"}).code == ExitCode::Done);
    CHECK(control.run({"route", "set", "r", "--isolated-reads", "true"}).code == ExitCode::Done);
    CHECK(control.run({"endpoint", "set", "e", "--zone", "y"}).code == ExitCode::Done);
    const auto &objects = control.state.objects();
    CHECK(objects.find<Service>("s")->group == "h");
    CHECK(objects.find<Service>("s")->connectionLimit == 7);
    CHECK(objects.find<Service>("s")->synchronousReplicas == 2);
    CHECK(objects.find<Route>("r")->isolatedReads);
    CHECK(objects.find<Route>("r")->sessions == sessions);
    CHECK(objects.find<Endpoint>("e")->zone == "y");
    CHECK(objects.find<Endpoint>("e")->leaving);
    CHECK(objects.find<Endpoint>("e")->startedAt == 9);
}

// Guards against a key that is hashed with another secret than the one that control members and
// entries read from the same file, which keep leading white space and refuse a short secret.
TEST_CASE("key create reads the cluster secret as the members do")
{
    auto control = FakeControl();
    (void)control.run({"organisation", "set", "o", "--rate", "5", "--burst", "9"});
    (void)control.run({"service", "set", "s", "--group", "g"});
    (void)control.run({"route", "set", "r", "--service", "s", "--selector", "!blocked"});
    const auto output = control.run({"key", "create", "o", "--secret-file", "indented"});
    REQUIRE(output.code == ExitCode::Done);
    const auto start = output.out.find("ar_");
    REQUIRE(start != std::string::npos);
    const auto text = output.out.substr(start, output.out.find('\n', start) - start);
    CHECK(std::holds_alternative<Authorisation>(
        authorise(control.state.objects(), "s", text, "\tcluster-secret")));
    const auto refused = control.run({"key", "create", "o", "--secret-file", "short"});
    CHECK(refused.code == ExitCode::BadInput);
    CHECK_THAT(refused.err, Catch::Contains("fewer than 8 characters"));
}

// Guards against a key whose secret leaves the operator's side, or that does not work.
TEST_CASE("a created key works, and only its hash is sent")
{
    auto control = FakeControl();
    (void)control.run({"organisation", "set", "o", "--rate", "5", "--burst", "9"});
    (void)control.run({"service", "set", "s", "--group", "g"});
    (void)control.run({"route", "set", "r", "--service", "s", "--selector", "!blocked"});
    const auto output = control.run({"key", "create", "o", "--secret-file", "secret"});
    REQUIRE(output.code == ExitCode::Done);
    const auto start = output.out.find("ar_");
    REQUIRE(start != std::string::npos);
    const auto text = output.out.substr(start, output.out.find('\n', start) - start);
    const auto granted = authorise(control.state.objects(), "s", text, "cluster-secret");
    REQUIRE(std::holds_alternative<Authorisation>(granted));
    CHECK(std::get<Authorisation>(granted).organisation == "o");
    const auto listing = control.run({"--json", "key", "list"}).out;
    CHECK(listing.find("hash") == std::string::npos);
    CHECK(control.run({"key", "create", "o", "--secret-file", "none"}).code == ExitCode::BadInput);
    const auto unknown = control.run({"key", "create", "x", "--secret-file", "secret"});
    CHECK(unknown.code == ExitCode::Refused);
    CHECK(unknown.out.find("ar_") == std::string::npos);
}

// Guards against usage faults that reach control, and findings that are hidden.
TEST_CASE("faults of usage are reported and nothing is sent")
{
    auto control = FakeControl();
    const auto arguments = GENERATE(values<std::vector<std::string>>({
        {},
        {"fly"},
        {"service"},
        {"service", "set"},
        {"service", "set", "s", "--rate", "5"},
        {"group", "set", "g"},
        {"label", "set", "organisation", "o", "novalue"},
        {"label", "set", "planet", "o", "a=b"},
        {"selector", "test", "a=,b="},
        {"check", "f", "--program", "entry"},
        {"check", "f", "--program", "unknown"},
        {"key", "create", "o"},
    }));
    const auto output = control.run(arguments);
    CHECK(output.code == ExitCode::BadInput);
    CHECK_FALSE(output.err.empty());
    CHECK(control.asked.empty());
    CHECK(control.run({"--help"}).code == ExitCode::Done);
    CHECK(control.run({"selector", "test", "a=b", "--label", "a=b"}).code == ExitCode::Done);
    CHECK(control.run({"selector", "test", "a=b", "--label", "a=c"}).code == ExitCode::Refused);
    const auto faulty = control.run({"organisation", "set", "o", "--rate", "x", "--burst", "y"});
    CHECK(faulty.code == ExitCode::BadInput);
    CHECK_THAT(faulty.err, Catch::Contains("--rate") && Catch::Contains("--burst"));
}

} // namespace auburnrail
