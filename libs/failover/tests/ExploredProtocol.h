#ifndef AUBURNRAIL_FAILOVER_TESTS_EXPLOREDPROTOCOL_H
#define AUBURNRAIL_FAILOVER_TESTS_EXPLOREDPROTOCOL_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

namespace testing {

/// How control gives orders to the servers of an ExploredWorld.
enum class ExploredProtocol : std::uint8_t {
    Endpoint, ///< The project's own: each order carries the group's term, which servers remember.
    Platform, ///< Servers have terms of their own, and a platform promotes some time after a call.
};

} // namespace testing

template <>
inline constexpr auto
    ENUM_NAMES<testing::ExploredProtocol> = std::to_array<EnumName<testing::ExploredProtocol>>({
        {testing::ExploredProtocol::Endpoint, "endpoint"},
        {testing::ExploredProtocol::Platform, "platform"},
    });

} // namespace auburnrail

#endif
