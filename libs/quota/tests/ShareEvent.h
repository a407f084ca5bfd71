#ifndef AUBURNRAIL_QUOTA_TESTS_SHAREEVENT_H
#define AUBURNRAIL_QUOTA_TESTS_SHAREEVENT_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What may happen to a ShareSimulation.
enum class ShareEvent : std::uint8_t {
    Pause,
    Requests,
    Exchange,
    SendReport,
    DeliverReport,
    DuplicateReport,
    DeliverResponse,
    DuplicateResponse,
    AskForTokens,
    SendTokenRequest,
    DeliverTokenRequest,
    DuplicateTokenRequest,
    DeliverTokenResponse,
    LoseMessages,
    Restart,
    RestartAll, ///< Every holder restarts, and a new leader hears of each.
    ChangeLeader,
    Expire,
};

template <>
inline constexpr auto ENUM_NAMES<ShareEvent> = std::to_array<EnumName<ShareEvent>>({
    {ShareEvent::Pause, "Pause"},
    {ShareEvent::Requests, "Requests"},
    {ShareEvent::Exchange, "Exchange"},
    {ShareEvent::SendReport, "SendReport"},
    {ShareEvent::DeliverReport, "DeliverReport"},
    {ShareEvent::DuplicateReport, "DuplicateReport"},
    {ShareEvent::DeliverResponse, "DeliverResponse"},
    {ShareEvent::DuplicateResponse, "DuplicateResponse"},
    {ShareEvent::AskForTokens, "AskForTokens"},
    {ShareEvent::SendTokenRequest, "SendTokenRequest"},
    {ShareEvent::DeliverTokenRequest, "DeliverTokenRequest"},
    {ShareEvent::DuplicateTokenRequest, "DuplicateTokenRequest"},
    {ShareEvent::DeliverTokenResponse, "DeliverTokenResponse"},
    {ShareEvent::LoseMessages, "LoseMessages"},
    {ShareEvent::Restart, "Restart"},
    {ShareEvent::RestartAll, "RestartAll"},
    {ShareEvent::ChangeLeader, "ChangeLeader"},
    {ShareEvent::Expire, "Expire"},
});

} // namespace auburnrail

#endif
