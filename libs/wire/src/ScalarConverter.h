#ifndef AUBURNRAIL_WIRE_SCALARCONVERTER_H
#define AUBURNRAIL_WIRE_SCALARCONVERTER_H

#include <Consensus_types.h>
#include <consensus/Configuration.h>
#include <consensus/MemberId.h>

#include <cstdint>

namespace auburnrail::detail {

/// Thrift has signed integers only; the bits are kept.
[[nodiscard]] inline auto signedValue(std::uint64_t value) -> std::int64_t
{
    return static_cast<std::int64_t>(value);
}

[[nodiscard]] inline auto unsignedValue(std::int64_t value) -> std::uint64_t
{
    return static_cast<std::uint64_t>(value);
}

[[nodiscard]] auto memberToWire(const MemberId &member) -> wire::MemberId;
[[nodiscard]] auto memberFromWire(const wire::MemberId &member) -> MemberId;
[[nodiscard]] auto configurationToWire(const Configuration &configuration) -> wire::Configuration;
[[nodiscard]] auto configurationFromWire(const wire::Configuration &configuration) -> Configuration;

} // namespace auburnrail::detail

#endif
