#ifndef AUBURNRAIL_OBSERVE_EXPLAINFACT_H
#define AUBURNRAIL_OBSERVE_EXPLAINFACT_H

#include <string>

namespace auburnrail {

/// One fact behind a decision, such as {"revision", "812"}. Never a key or a token.
struct ExplainFact
{
    std::string name;
    std::string value;

    auto operator==(const ExplainFact &) const -> bool = default;
};

} // namespace auburnrail

#endif
