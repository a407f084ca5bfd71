#ifndef AUBURNRAIL_STATE_SELECTORTERM_H
#define AUBURNRAIL_STATE_SELECTORTERM_H

#include <state/SelectorOperator.h>

#include <set>
#include <string>

namespace auburnrail {

/// One condition of a selector.
struct SelectorTerm
{
    std::string key;
    SelectorOperator op = SelectorOperator::Exists;
    std::set<std::string, std::less<>> values; ///< One for `=` and `!=`, none for presence tests.

    auto operator==(const SelectorTerm &) const -> bool = default;
};

} // namespace auburnrail

#endif
