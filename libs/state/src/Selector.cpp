#include <state/Selector.h>

#include "Limits.h"
#include "SelectorParser.h"

#include <absl/strings/str_join.h>

#include <algorithm>

namespace auburnrail {

namespace {

auto termMatches(const SelectorTerm &term, const Labels &labels) -> bool
{
    const auto found = labels.find(term.key);
    const auto present = found != labels.end();
    const auto listed = present && term.values.contains(found->second);
    switch (term.op) {
    case SelectorOperator::Equals:
    case SelectorOperator::In:
        return listed;
    case SelectorOperator::NotEquals:
    case SelectorOperator::NotIn:
        return !listed;
    case SelectorOperator::Exists:
        return present;
    case SelectorOperator::Absent:
        return !present;
    }
    return false;
}

auto termText(const SelectorTerm &term) -> std::string
{
    const auto op = std::string(nameOf(term.op));
    switch (term.op) {
    case SelectorOperator::Equals:
    case SelectorOperator::NotEquals:
        return term.key + op + *term.values.begin();
    case SelectorOperator::In:
    case SelectorOperator::NotIn:
        return term.key + " " + op + " (" + absl::StrJoin(term.values, ",") + ")";
    case SelectorOperator::Exists:
        return term.key;
    case SelectorOperator::Absent:
        return "!" + term.key;
    }
    return {};
}

} // namespace

auto Selector::parse(std::string_view text, const std::string &source, Findings &findings)
    -> Selector
{
    auto selector = Selector();
    selector.terms = detail::SelectorParser(text, source, findings).parseTerms();
    // A selector is stored and sent as its canonical text, which can be longer than the given one.
    if (text.size() <= detail::MAX_SELECTOR_BYTES
        && selector.toString().size() > detail::MAX_SELECTOR_BYTES) {
        findings.add(Place{source, 0, "", "column 1"},
                     "in canonical form is longer than 4096 bytes");
    }
    return selector;
}

auto Selector::matches(const Labels &labels) const -> bool
{
    return std::all_of(this->terms.begin(), this->terms.end(),
                       [&labels](const auto &term) { return termMatches(term, labels); });
}

auto Selector::empty() const -> bool
{
    return this->terms.empty();
}

auto Selector::toString() const -> std::string
{
    return absl::StrJoin(this->terms, ",",
                         [](std::string *out, const auto &term) { out->append(termText(term)); });
}

} // namespace auburnrail
