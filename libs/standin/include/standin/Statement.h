#ifndef AUBURNRAIL_STANDIN_STATEMENT_H
#define AUBURNRAIL_STANDIN_STATEMENT_H

#include <standin/StatementVerb.h>

#include <optional>
#include <string>

namespace auburnrail {

/// A parsed statement of the emulated database.
struct Statement
{
    StatementVerb verb = StatementVerb::Get;
    std::string key;
    std::string value; ///< Empty for GET.

    /// Nothing when the text is no statement.
    [[nodiscard]] static auto parse(const std::string &text) -> std::optional<Statement>;

    /// New value of the key whose value was `old`; for GET the old one.
    [[nodiscard]] auto applyTo(const std::string &old) const -> std::string;
};

} // namespace auburnrail

#endif
