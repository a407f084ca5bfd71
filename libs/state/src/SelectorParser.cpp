#include "SelectorParser.h"

#include "Limits.h"

#include <core/Name.h>

#include <utility>

namespace auburnrail::detail {

SelectorParser::SelectorParser(std::string_view text, const std::string &source, Findings &findings)
    : text(text)
    , source(source)
    , findings(findings)
{
}

auto SelectorParser::parseTerms() -> std::vector<SelectorTerm>
{
    auto terms = std::vector<SelectorTerm>();
    if (this->text.size() > MAX_SELECTOR_BYTES) {
        this->addError(MAX_SELECTOR_BYTES, "is longer than 4096 bytes");
        return terms;
    }
    this->skipSpaces();
    if (this->atEnd())
        return terms;
    while (true) {
        const auto start = this->offset;
        auto term = SelectorTerm();
        if (this->parseTerm(term)) {
            terms.push_back(std::move(term));
        } else {
            // Skips from the start of the term, because the error may be inside parentheses.
            this->offset = start;
            this->skipTerm();
        }
        if (!this->take(','))
            return terms;
    }
}

auto SelectorParser::parseTerm(SelectorTerm &term) -> bool
{
    this->skipSpaces();
    const auto negated = this->take('!');
    if (!this->parseWord("a key", term.key))
        return false;
    this->skipSpaces();
    if (negated)
        term.op = SelectorOperator::Absent;
    else if (!this->atEnd() && this->text[this->offset] != ',')
        return this->parseOperator(term);
    this->skipSpaces();
    if (!this->atEnd() && this->text[this->offset] != ',')
        return this->addError(this->offset, "expected a comma after the term");
    return true;
}

auto SelectorParser::parseOperator(SelectorTerm &term) -> bool
{
    const auto start = this->offset;
    if (this->take('=')) {
        term.op = SelectorOperator::Equals;
    } else if (this->take('!')) {
        if (!this->take('='))
            return this->addError(this->offset, "expected '=' after '!'");
        term.op = SelectorOperator::NotEquals;
    } else {
        const auto word = this->readWord();
        if (word == "in")
            term.op = SelectorOperator::In;
        else if (word == "notin")
            term.op = SelectorOperator::NotIn;
        else
            return this->addError(start, "expected one of '=', '!=', 'in', 'notin' or a comma");
        return this->parseValueList(term);
    }
    auto value = std::string();
    this->skipSpaces();
    if (!this->parseWord("a value", value))
        return false;
    term.values.insert(std::move(value));
    this->skipSpaces();
    if (!this->atEnd() && this->text[this->offset] != ',')
        return this->addError(this->offset, "expected a comma after the term");
    return true;
}

auto SelectorParser::parseValueList(SelectorTerm &term) -> bool
{
    this->skipSpaces();
    if (!this->take('('))
        return this->addError(this->offset, "expected '('");
    while (true) {
        auto value = std::string();
        this->skipSpaces();
        if (!this->parseWord("a value", value))
            return false;
        term.values.insert(std::move(value));
        this->skipSpaces();
        if (this->take(')'))
            break;
        if (!this->take(','))
            return this->addError(this->offset, "expected ',' or ')'");
    }
    this->skipSpaces();
    if (!this->atEnd() && this->text[this->offset] != ',')
        return this->addError(this->offset, "expected a comma after the term");
    return true;
}

auto SelectorParser::parseWord(const char *expected, std::string &word) -> bool
{
    const auto start = this->offset;
    word = this->readWord();
    if (word.empty())
        return this->addError(start, std::string("expected ") + expected);
    if (word.size() > MAX_NAME_BYTES)
        return this->addError(start, "is longer than 128 bytes");
    return true;
}

auto SelectorParser::readWord() -> std::string
{
    const auto start = this->offset;
    while (!this->atEnd() && isNameCharacter(this->text[this->offset]))
        ++this->offset;
    return std::string(this->text.substr(start, this->offset - start));
}

auto SelectorParser::skipSpaces() -> void
{
    while (!this->atEnd() && this->text[this->offset] == ' ')
        ++this->offset;
}

auto SelectorParser::skipTerm() -> void
{
    auto inList = false;
    for (; !this->atEnd(); ++this->offset) {
        const auto character = this->text[this->offset];
        if (character == ',' && !inList)
            return;
        if (character == '(')
            inList = true;
        else if (character == ')')
            inList = false;
    }
}

auto SelectorParser::take(char expected) -> bool
{
    if (this->atEnd() || this->text[this->offset] != expected)
        return false;
    ++this->offset;
    return true;
}

auto SelectorParser::atEnd() const -> bool
{
    return this->offset >= this->text.size();
}

auto SelectorParser::addError(std::size_t at, std::string message) -> bool
{
    this->findings.add(Place{this->source, 0, "", "column " + std::to_string(at + 1)},
                       std::move(message));
    return false;
}

} // namespace auburnrail::detail
