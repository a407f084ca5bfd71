#ifndef AUBURNRAIL_REQUEST_TESTS_FAULT_H
#define AUBURNRAIL_REQUEST_TESTS_FAULT_H

#include <request/EndpointRefusal.h>

namespace auburnrail {

/// What goes wrong in one exchange with an emulated endpoint.
enum class FaultKind : std::uint8_t {
    None,
    Unsent,    ///< The connection is closed before the first byte.
    LostUnrun, ///< Lost on the way there.
    LostRun,   ///< Lost on the way back; so are the answers of the next three.
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
