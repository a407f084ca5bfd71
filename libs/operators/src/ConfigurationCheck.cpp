#include "ConfigurationCheck.h"

#include "ProgramPrinter.h"

#include <http/JsonWriter.h>
#include <state/ConfigurationReview.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <optional>

namespace auburnrail::detail {

namespace {

auto linesOf(const Findings &findings) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (const auto &finding : findings.all())
        lines.push_back(absl::StrCat(toString(finding.place), ": ", finding.message));
    return lines;
}

auto lineOf(const ConfigurationDifference &difference) -> std::string
{
    const auto fields =
        difference.fields.empty() ? "" : "; " + absl::StrJoin(difference.fields, ", ");
    return absl::StrCat(std::string(nameOf(difference.kind)), " ", difference.name, ": ",
                        std::string(nameOf(difference.difference)), fields);
}

auto linesOf(const std::vector<ConfigurationDifference> &differences) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (const auto &difference : differences)
        lines.push_back(lineOf(difference));
    return lines;
}

auto toText(const std::string &title, const std::vector<std::string> &lines) -> std::string
{
    auto text = absl::StrCat(title, ": ", lines.size(), "\n");
    for (const auto &line : lines)
        absl::StrAppend(&text, "  ", line, "\n");
    return text;
}

auto codeOf(const ConfigurationReview &review) -> ExitCode
{
    if (!review.errors.empty())
        return ExitCode::BadInput;
    const auto hasWarnings = !review.unmatched.empty() || !review.contradictions.empty();
    return hasWarnings ? ExitCode::Refused : ExitCode::Done;
}

auto print(const ConfigurationReview &review, bool isCompared, bool json) -> ProgramOutput
{
    auto output = ProgramOutput{.code = codeOf(review), .out = {}, .err = {}};
    if (json) {
        auto writer = JsonWriter();
        writer.texts("errors", linesOf(review.errors));
        writer.texts("never_matched", linesOf(review.unmatched));
        writer.texts("contradictions", linesOf(review.contradictions));
        if (isCompared)
            writer.texts("differences", linesOf(review.differences));
        output.out = writer.toIndentedString() + "\n";
        return output;
    }
    output.out = toText("errors", linesOf(review.errors))
                 + toText("never matched", linesOf(review.unmatched))
                 + toText("contradictions", linesOf(review.contradictions));
    output.out += isCompared ? toText("differences", linesOf(review.differences))
                             : std::string("differences: not compared\n");
    return output;
}

} // namespace

auto checkConfigurationFile(const ProgramHooks &hooks, const Invocation &invocation,
                            const std::function<auto()->absl::StatusOr<std::string>> &readInForce)
    -> ProgramOutput
{
    const auto parse =
        [&hooks](const absl::StatusOr<std::string> &text) -> absl::StatusOr<ReplaceConfiguration> {
        return text.ok() ? hooks.parseConfiguration(*text) : text.status();
    };
    const auto proposed = parse(hooks.readFile(invocation.name));
    if (!proposed.ok())
        return ProgramOutput{ExitCode::BadInput, "",
                             absl::StrCat(proposed.status().message(), "\n")};
    if (invocation.against.empty() && !readInForce)
        return print(reviewConfiguration(*proposed, nullptr), false, invocation.json);
    const auto inForce =
        parse(invocation.against.empty() ? readInForce() : hooks.readFile(invocation.against));
    if (!inForce.ok())
        return printFailure(inForce.status());
    return print(reviewConfiguration(*proposed, &*inForce), true, invocation.json);
}

} // namespace auburnrail::detail
