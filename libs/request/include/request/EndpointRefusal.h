#ifndef AUBURNRAIL_REQUEST_ENDPOINTREFUSAL_H
#define AUBURNRAIL_REQUEST_ENDPOINTREFUSAL_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why an endpoint refused an operation; None if it ran.
enum class EndpointRefusal : std::uint8_t {
    None,
    WrongTerm, ///< The endpoint knows another term.
    NotPrimary,
    Behind, ///< The endpoint has not reached the minimum position.
    Fenced,
    Busy, ///< Connection or statement limit reached.
    Leaving,
    NoTransaction,
    IdempotencyConflict,
    BadStatement,
};

template <>
inline constexpr auto ENUM_NAMES<EndpointRefusal> = std::to_array<EnumName<EndpointRefusal>>({
    {EndpointRefusal::None, "none"},
    {EndpointRefusal::WrongTerm, "wrong-term"},
    {EndpointRefusal::NotPrimary, "not-primary"},
    {EndpointRefusal::Behind, "behind"},
    {EndpointRefusal::Fenced, "fenced"},
    {EndpointRefusal::Busy, "busy"},
    {EndpointRefusal::Leaving, "leaving"},
    {EndpointRefusal::NoTransaction, "no-transaction"},
    {EndpointRefusal::IdempotencyConflict, "idempotency-conflict"},
    {EndpointRefusal::BadStatement, "bad-statement"},
});

} // namespace auburnrail

#endif
