#ifndef AUBURNRAIL_PROXY_SESSIONSTATE_H
#define AUBURNRAIL_PROXY_SESSIONSTATE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// State of a session between two statements.
enum class SessionState : std::uint8_t {
    Idle,
    InTransaction,
    Failed, ///< The transaction failed; only a commit or rollback is accepted.
};

template <>
inline constexpr auto ENUM_NAMES<SessionState> = std::to_array<EnumName<SessionState>>({
    {SessionState::Idle, "idle"},
    {SessionState::InTransaction, "in-transaction"},
    {SessionState::Failed, "failed"},
});

} // namespace auburnrail

#endif
