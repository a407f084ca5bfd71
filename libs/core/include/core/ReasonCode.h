#ifndef AUBURNRAIL_CORE_REASONCODE_H
#define AUBURNRAIL_CORE_REASONCODE_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Why a request ended as it did. The names are part of the callers' protocol.
enum class ReasonCode : std::uint8_t {
    Completed,
    StatementFailed,
    MalformedRequest,
    BodyTooLarge,
    UnknownPath,
    UnknownService,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    RouteDenied,
    LeaseExpired,
    RateLimited,
    QueueFull,
    DeadlineTooClose,
    NoEndpoint,
    NoPrimary,
    EndpointOverloaded,
    NoFreshReplica,
    TermReplaced,
    RetryBudgetSpent,
    IdempotencyConflict,
    TransactionUnknown,
    TransactionElsewhere,
    TransactionBusy,
    TransactionAborted,
    ShuttingDown,
    ConnectFailed,
    ConnectionLost,
    AnswerTimeout,
    AnswerMismatched,
    AnswerTruncated,
    ReplicationUnconfirmed,
    InternalError,
};

template <>
inline constexpr auto ENUM_NAMES<ReasonCode> = std::to_array<EnumName<ReasonCode>>({
    {ReasonCode::Completed, "completed"},
    {ReasonCode::StatementFailed, "statement-failed"},
    {ReasonCode::MalformedRequest, "malformed-request"},
    {ReasonCode::BodyTooLarge, "body-too-large"},
    {ReasonCode::UnknownPath, "unknown-path"},
    {ReasonCode::UnknownService, "unknown-service"},
    {ReasonCode::KeyMissing, "key-missing"},
    {ReasonCode::KeyUnknown, "key-unknown"},
    {ReasonCode::KeyWithdrawn, "key-withdrawn"},
    {ReasonCode::RouteDenied, "route-denied"},
    {ReasonCode::LeaseExpired, "lease-expired"},
    {ReasonCode::RateLimited, "rate-limited"},
    {ReasonCode::QueueFull, "queue-full"},
    {ReasonCode::DeadlineTooClose, "deadline-too-close"},
    {ReasonCode::NoEndpoint, "no-endpoint"},
    {ReasonCode::NoPrimary, "no-primary"},
    {ReasonCode::EndpointOverloaded, "endpoint-overloaded"},
    {ReasonCode::NoFreshReplica, "no-fresh-replica"},
    {ReasonCode::TermReplaced, "term-replaced"},
    {ReasonCode::RetryBudgetSpent, "retry-budget-spent"},
    {ReasonCode::IdempotencyConflict, "idempotency-conflict"},
    {ReasonCode::TransactionUnknown, "transaction-unknown"},
    {ReasonCode::TransactionElsewhere, "transaction-elsewhere"},
    {ReasonCode::TransactionBusy, "transaction-busy"},
    {ReasonCode::TransactionAborted, "transaction-aborted"},
    {ReasonCode::ShuttingDown, "shutting-down"},
    {ReasonCode::ConnectFailed, "connect-failed"},
    {ReasonCode::ConnectionLost, "connection-lost"},
    {ReasonCode::AnswerTimeout, "answer-timeout"},
    {ReasonCode::AnswerMismatched, "answer-mismatched"},
    {ReasonCode::AnswerTruncated, "answer-truncated"},
    {ReasonCode::ReplicationUnconfirmed, "replication-unconfirmed"},
    {ReasonCode::InternalError, "internal-error"},
});

} // namespace auburnrail

#endif
