#ifndef AUBURNRAIL_OBSERVE_EXPLAINRECORD_H
#define AUBURNRAIL_OBSERVE_EXPLAINRECORD_H

#include <observe/ExplainFact.h>
#include <observe/ExplainKind.h>

#include <core/ReasonCode.h>

#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// Why the system acted as it did, once.
struct ExplainRecord
{
    ExplainKind kind = ExplainKind::Request;
    std::string id; ///< See ExplainKind.
    std::string organisation;
    std::string service;
    std::int64_t atMillis =
        0; ///< Wall clock, milliseconds since 1970 UTC; for people, never for decisions.
    std::string decision;
    ReasonCode reason = ReasonCode::Completed;
    std::vector<ExplainFact> facts; ///< In the order in which they were considered.

    auto operator==(const ExplainRecord &) const -> bool = default;
};

} // namespace auburnrail

#endif
