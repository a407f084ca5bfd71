#include <standin/Statement.h>

#include <absl/strings/str_split.h>

#include <vector>

namespace auburnrail {

auto Statement::parse(const std::string &text) -> std::optional<Statement>
{
    const auto words =
        std::vector<std::string>(absl::StrSplit(text, absl::MaxSplits(' ', 2), absl::SkipEmpty()));
    if (words.empty())
        return std::nullopt;
    const auto verb = parseName<StatementVerb>(words[0]);
    const auto wordCount = verb == StatementVerb::Get ? std::size_t(2) : std::size_t(3);
    if (!verb || words.size() != wordCount)
        return std::nullopt;
    return Statement{
        .verb = *verb, .key = words[1], .value = wordCount == 3 ? words[2] : std::string()};
}

auto Statement::applyTo(const std::string &old) const -> std::string
{
    switch (this->verb) {
    case StatementVerb::Put:
        return this->value;
    case StatementVerb::Append:
        return old + this->value;
    case StatementVerb::Get:
        break;
    }
    return old;
}

} // namespace auburnrail
