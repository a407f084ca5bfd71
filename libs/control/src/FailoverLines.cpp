#include "FailoverLines.h"

#include <control/AcknowledgedCheck.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace auburnrail::detail {

namespace {

/// One word for each endpoint that was compared: name, position, its age, and its former role.
auto fencedText(const PromotionEvidence &evidence) -> std::string
{
    return absl::StrJoin(evidence.fenced, " ", [&](std::string *text, const FenceEvidence &fenced) {
        absl::StrAppend(text, fenced.endpoint, "@", positionText(fenced.position), "/",
                        toMillis(evidence.orderedAt - fenced.receivedAt), "ms",
                        fenced.wasPrimary ? "/primary" : "",
                        fenced.rebuilding ? "/rebuilding" : "");
    });
}

auto messageOf(PromotionOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case PromotionOutcome::TookEffect:
        return "promotion took effect";
    case PromotionOutcome::NotSeen:
        return "promotion not seen in time";
    case PromotionOutcome::Refused:
        return "promotion refused";
    case PromotionOutcome::NotSent:
        return "promotion not sent";
    case PromotionOutcome::NoAnswer:
        break;
    }
    return "promotion without an answer; it may take effect later";
}

} // namespace

auto positionText(const Position &position) -> std::string
{
    return absl::StrCat(position.term, ".", position.index);
}

auto promotionFields(const PromotionEvidence &evidence) -> LogFields
{
    const auto confirmed =
        evidence.leasesConfirmedAt
            ? absl::StrCat(toMillis(evidence.orderedAt - *evidence.leasesConfirmedAt))
            : std::string("never");
    return {
        {"group", evidence.group},
        {"term", absl::StrCat(evidence.term)},
        {"cause", std::string(nameOf(evidence.cause))},
        {"endpoint", evidence.endpoint},
        {"old_primary", evidence.oldPrimary},
        {"try", absl::StrCat(evidence.tries)},
        {"leases_confirmed_ms_ago", confirmed},
        {"acknowledged", evidence.acknowledged ? positionText(*evidence.acknowledged) : "unknown"},
        {"acknowledged_check", std::string(nameOf(checkAcknowledged(evidence)))},
        {"fenced", fencedText(evidence)},
        {"not_fenced", absl::StrJoin(evidence.notFenced, " ")}};
}

auto logPromotion(const PromotionEvidence &evidence) -> void
{
    const auto fields = promotionFields(evidence);
    logLine(LogLevel::Info, "failover", "promotion ordered", fields);
    const auto check = checkAcknowledged(evidence);
    if (check == AcknowledgedCheck::GivenUp || check == AcknowledgedCheck::Elsewhere)
        logLine(LogLevel::Warning, "failover", "promotion ordered without what was acknowledged",
                fields);
}

auto logPromotionOutcome(PromotionOutcome outcome, const GroupEndpoint &endpoint,
                         const std::string &group, std::uint64_t term,
                         const std::optional<EndpointRoleStatus> &status) -> void
{
    logLine(outcome == PromotionOutcome::TookEffect ? LogLevel::Info : LogLevel::Warning,
            "failover", messageOf(outcome),
            {{"group", group},
             {"term", absl::StrCat(term)},
             {"endpoint", endpoint.name},
             {"endpoint_term", status ? absl::StrCat(status->term) : ""},
             {"position", status ? positionText(status->position) : ""}});
}

auto logFailover(const FailoverRecord &record) -> void
{
    const auto began = record.phases.empty() ? record.endedAt : record.phases.front().startedAt;
    logLine(LogLevel::Info, "failover", record.completed ? "failover completed" : "failover ended",
            {{"group", record.group},
             {"cause", std::string(nameOf(record.cause))},
             {"old_primary", record.oldPrimary},
             {"new_primary", record.newPrimary},
             {"term", absl::StrCat(record.term)},
             {"position", positionText(record.position)},
             {"duration_ms", absl::StrCat(toMillis(record.endedAt - began))},
             {"note", record.note}});
}

} // namespace auburnrail::detail
