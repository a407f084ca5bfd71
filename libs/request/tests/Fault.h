#ifndef AUBURNRAIL_REQUEST_TESTS_FAULT_H
#define AUBURNRAIL_REQUEST_TESTS_FAULT_H

#include <request/EndpointRefusal.h>

namespace auburnrail {

/// Fault injected into one exchange with an emulated endpoint.
enum class FaultKind : std::uint8_t {
    None,
    Unsent,    ///< The connection is closed before the first byte.
    LostUnrun, ///< The request is lost.
    LostRun,   ///< The response is lost; the next three kinds have no usable one either.
    TimedOutRun,
    TruncatedRun,
    WrongIdRun,
    Refusal,
};

struct Fault
{
    FaultKind kind = FaultKind::None;
    EndpointRefusal refusal = EndpointRefusal::None;
};

} // namespace auburnrail

#endif
