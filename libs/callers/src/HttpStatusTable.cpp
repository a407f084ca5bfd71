#include "HttpStatusTable.h"

#include <array>

namespace auburnrail {

namespace {

struct StatusRow
{
    ReasonCode reason;
    int status;
};

constexpr auto STATUS_TABLE = std::to_array<StatusRow>({
    {ReasonCode::Completed, 200},
    {ReasonCode::StatementFailed, 422},
    {ReasonCode::MalformedRequest, 400},
    {ReasonCode::BodyTooLarge, 413},
    {ReasonCode::UnknownPath, 404},
    {ReasonCode::UnknownService, 404},
    {ReasonCode::KeyMissing, 401},
    {ReasonCode::KeyUnknown, 401},
    {ReasonCode::KeyWithdrawn, 401},
    {ReasonCode::RouteDenied, 403},
    {ReasonCode::RateLimited, 429},
    {ReasonCode::IdempotencyConflict, 409},
    {ReasonCode::TransactionUnknown, 404},
    {ReasonCode::TransactionElsewhere, 409},
    {ReasonCode::TransactionBusy, 409},
    {ReasonCode::TransactionAborted, 409},
    {ReasonCode::ConnectionLost, 502},
    {ReasonCode::AnswerMismatched, 502},
    {ReasonCode::AnswerTruncated, 502},
    {ReasonCode::AnswerTimeout, 504},
    {ReasonCode::ReplicationUnconfirmed, 504},
    {ReasonCode::InternalError, 500},
});

constexpr auto STATUS_SERVICE_UNAVAILABLE = 503;

} // namespace

auto httpStatusOf(ReasonCode reason) -> int
{
    for (const auto &row : STATUS_TABLE) {
        if (row.reason == reason)
            return row.status;
    }
    return STATUS_SERVICE_UNAVAILABLE;
}

} // namespace auburnrail
