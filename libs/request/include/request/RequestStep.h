#ifndef AUBURNRAIL_REQUEST_REQUESTSTEP_H
#define AUBURNRAIL_REQUEST_REQUESTSTEP_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Step of a request, as named in its explain records.
enum class RequestStep : std::uint8_t {
    Authorise,
    Admit,
    PlanRead,
    WaitForPrimary,
    Acquire,
    Exchange,
    Retry,
    Confirm,
    Respond,
};

template <>
inline constexpr auto ENUM_NAMES<RequestStep> = std::to_array<EnumName<RequestStep>>({
    {RequestStep::Authorise, "authorise"},
    {RequestStep::Admit, "admit"},
    {RequestStep::PlanRead, "plan-read"},
    {RequestStep::WaitForPrimary, "wait-for-primary"},
    {RequestStep::Acquire, "acquire"},
    {RequestStep::Exchange, "exchange"},
    {RequestStep::Retry, "retry"},
    {RequestStep::Confirm, "confirm"},
    {RequestStep::Respond, "answer"},
});

} // namespace auburnrail

#endif
