#ifndef AUBURNRAIL_STATE_SELECTORPARSER_H
#define AUBURNRAIL_STATE_SELECTORPARSER_H

#include <state/SelectorTerm.h>

#include <core/Findings.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail::detail {

/// Recursive descent parser of selectors. After an error it resumes at the next comma outside
/// parentheses, so that every invalid term is reported.
class SelectorParser
{
public:
    SelectorParser(std::string_view text, const std::string &source, Findings &findings);

    [[nodiscard]] auto parseTerms() -> std::vector<SelectorTerm>;

private:
    /// False after an error, which was added to the findings.
    auto parseTerm(SelectorTerm &term) -> bool;
    auto parseOperator(SelectorTerm &term) -> bool;
    auto parseValueList(SelectorTerm &term) -> bool;
    auto parseWord(const char *expected, std::string &word) -> bool;
    auto readWord() -> std::string;
    auto skipSpaces() -> void;
    auto skipTerm() -> void;
    auto take(char expected) -> bool;
    auto atEnd() const -> bool;
    auto addError(std::size_t offset, std::string message) -> bool;

    std::string_view text;
    const std::string &source;
    Findings &findings;
    std::size_t offset = 0;
};

} // namespace auburnrail::detail

#endif
