#include "ProgramPrinter.h"

#include <operators/ObjectJson.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace auburnrail::detail {

namespace {

auto codeOf(const SubmitAnswer &answer) -> ExitCode
{
    if (answer.status == SubmitStatus::Decided) {
        return answer.result.status == CommandStatus::Applied ? ExitCode::Done : ExitCode::Refused;
    }
    return answer.status == SubmitStatus::Unknown ? ExitCode::Unknown : ExitCode::Unavailable;
}

auto describe(const SubmitAnswer &answer, const std::string &commandId) -> std::string
{
    const auto &result = answer.result;
    const auto status = std::string(nameOf(result.status));
    if (answer.status != SubmitStatus::Decided) {
        return absl::StrCat(std::string(nameOf(answer.status)), ": ", answer.message, " (command ",
                            commandId, ")\n");
    }
    if (result.status == CommandStatus::Applied) {
        return absl::StrCat(status, " at revision ", result.revision,
                            answer.inForce ? ", in force everywhere" : ", not yet in force",
                            " (command ", commandId, ")\n");
    }
    const auto winner = result.winningCommandId
                            ? absl::StrCat("; command ", *result.winningCommandId, " came first")
                            : std::string();
    return absl::StrCat("refused: ", status, ": ", result.message, winner, "\n");
}

auto jsonAnswer(const SubmitAnswer &answer, const std::string &commandId,
                const std::string &keyText) -> std::string
{
    auto writer = JsonWriter();
    writer.text("command_id", commandId);
    writer.text("outcome", nameOf(answer.status));
    if (answer.status == SubmitStatus::Decided) {
        writer.text("status", nameOf(answer.result.status));
        writer.integer("revision", static_cast<std::int64_t>(answer.result.revision));
        writer.boolean("in_force", answer.inForce);
    }
    writer.text("message",
                answer.status == SubmitStatus::Decided ? answer.result.message : answer.message);
    if (answer.result.winningCommandId)
        writer.text("winning_command_id", *answer.result.winningCommandId);
    if (!keyText.empty())
        writer.text("key", keyText);
    return writer.toString() + "\n";
}

auto labelsText(const Labels &labels) -> std::string
{
    return absl::StrJoin(labels, ",", absl::PairFormatter("="));
}

/// One line for each object of a listing: name, tab, labels.
auto listLines(const std::string &body) -> std::string
{
    auto lines = std::string();
    auto reader = JsonReader(body, "state");
    for (auto &object : reader.objects("objects"))
        absl::StrAppend(&lines, object.text("name"), "\t", labelsText(object.labels("labels")),
                        "\n");
    return lines;
}

} // namespace

auto printAnswer(const SubmitAnswer &answer, const std::string &commandId,
                 const std::string &keyText, bool json) -> ProgramOutput
{
    auto output = ProgramOutput{.code = codeOf(answer)};
    const auto mayExist = output.code == ExitCode::Done || output.code == ExitCode::Unknown;
    const auto shownKey = mayExist ? keyText : std::string();
    if (json) {
        output.out = jsonAnswer(answer, commandId, shownKey);
        return output;
    }
    auto &stream = output.code == ExitCode::Done ? output.out : output.err;
    stream = describe(answer, commandId);
    if (!shownKey.empty())
        output.out += absl::StrCat("key (shown only now): ", shownKey, "\n");
    return output;
}

auto printBody(const std::string &body, bool json, bool isList) -> ProgramOutput
{
    if (json)
        return ProgramOutput{ExitCode::Done, body + "\n", ""};
    if (isList)
        return ProgramOutput{ExitCode::Done, listLines(body), ""};
    const auto object = firstObjectIn(body);
    return ProgramOutput{ExitCode::Done, (object == "{}" ? body : object) + "\n", ""};
}

auto printFindings(const Findings &findings, bool json) -> ProgramOutput
{
    const auto good = findings.empty();
    auto output = ProgramOutput{.code = good ? ExitCode::Done : ExitCode::BadInput};
    if (json) {
        auto items = std::vector<std::string>();
        for (const auto &finding : findings.all())
            items.push_back(toString(finding.place) + ": " + finding.message);
        auto writer = JsonWriter();
        writer.texts("findings", items);
        output.out = writer.toString() + "\n";
    } else if (good) {
        output.out = "no findings\n";
    } else {
        output.err = findings.toString();
    }
    return output;
}

auto printMatch(bool matches, bool json) -> ProgramOutput
{
    auto output = ProgramOutput{.code = matches ? ExitCode::Done : ExitCode::Refused};
    if (json) {
        auto writer = JsonWriter();
        writer.boolean("matches", matches);
        output.out = writer.toString() + "\n";
    } else {
        output.out = matches ? "matches\n" : "does not match\n";
    }
    return output;
}

auto printFailure(const absl::Status &status) -> ProgramOutput
{
    const auto code = status.code() == absl::StatusCode::kInvalidArgument ? ExitCode::BadInput
                                                                          : ExitCode::Unavailable;
    return ProgramOutput{code, "", std::string(status.message()) + "\n"};
}

auto revisionIn(const std::string &body) -> Revision
{
    return static_cast<Revision>(JsonReader(body, "state").integer("revision"));
}

auto changedAtIn(const std::string &object) -> Revision
{
    return static_cast<Revision>(JsonReader(object, "state").integer("changed_at"));
}

auto firstObjectIn(const std::string &body) -> std::string
{
    auto reader = JsonReader(body, "state");
    auto objects = reader.objects("objects");
    if (objects.empty())
        return "{}";
    const auto object = decodeObject(objects.front());
    return encodeObject(object, false).toString();
}

} // namespace auburnrail::detail
