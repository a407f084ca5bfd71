#ifndef AUBURNRAIL_STATE_SELECTOR_H
#define AUBURNRAIL_STATE_SELECTOR_H

#include <state/SelectorTerm.h>

#include <core/Findings.h>
#include <core/Labels.h>

#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Condition on labels: terms separated by commas, which must all match. Terms: `key=value`,
/// `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`. `!=` and `notin` match when the
/// key is absent. No terms match everything.
class Selector
{
public:
    /// Parses `text`. Each error is added to `findings` with its one-based column; the result is
    /// usable only when there are none.
    [[nodiscard]] static auto parse(std::string_view text, const std::string &source,
                                    Findings &findings) -> Selector;

    [[nodiscard]] auto matches(const Labels &labels) const -> bool;
    [[nodiscard]] auto empty() const -> bool;

    /// Canonical text; parsing it gives an equal selector.
    [[nodiscard]] auto toString() const -> std::string;

    auto operator==(const Selector &) const -> bool = default;

private:
    std::vector<SelectorTerm> terms;
};

} // namespace auburnrail

#endif
