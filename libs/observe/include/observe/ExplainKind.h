#ifndef AUBURNRAIL_OBSERVE_EXPLAINKIND_H
#define AUBURNRAIL_OBSERVE_EXPLAINKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What an ExplainRecord explains.
enum class ExplainKind : std::uint8_t {
    Request,  ///< One request; `id` is the request id.
    Refusal,  ///< A request that was refused; `id` is the request id.
    Failover, ///< One phase of a failover; `id` is the group.
    Selector, ///< What a selector matched; `id` is its text.
};

template <>
inline constexpr auto ENUM_NAMES<ExplainKind> = std::to_array<EnumName<ExplainKind>>({
    {ExplainKind::Request, "request"},
    {ExplainKind::Refusal, "refusal"},
    {ExplainKind::Failover, "failover"},
    {ExplainKind::Selector, "selector"},
});

} // namespace auburnrail

#endif
