#include "FailoverLines.h"

#include <control/AcknowledgedCheck.h>
#include <control/PromotionVerdict.h>

#include <core/PositionText.h>

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

/// What keeps the logs of the replicas from being evidence: processes that have ended, and fenced
/// ones that haven't announced themselves since.
auto processesText(const PromotionEvidence &evidence) -> std::string
{
    if (!evidence.areProcessesKnown)
        return "unknown";
    auto texts = std::vector<std::string>();
    for (const auto &name : evidence.ended)
        texts.push_back(name + "/ended");
    for (const auto &name : evidence.unidentified)
        texts.push_back(name + "/unidentified");
    return absl::StrJoin(texts, " ");
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

auto acknowledgedText(const PromotionEvidence &evidence) -> std::string
{
    return evidence.acknowledged ? positionText(*evidence.acknowledged) : "unknown";
}

auto writeAcknowledged(const PromotionEvidence &evidence, JsonWriter &writer) -> void
{
    writer.text("acknowledged", acknowledgedText(evidence));
    if (evidence.acknowledgedGap == AcknowledgedGap::None)
        return;
    writer.text("acknowledged_gap", nameOf(evidence.acknowledgedGap));
    writer.text("acknowledged_at_least", positionText(evidence.acknowledgedAtLeast));
}

auto promotionFields(const PromotionEvidence &evidence) -> LogFields
{
    const auto confirmed =
        evidence.leasesConfirmedAt
            ? absl::StrCat(toMillis(evidence.orderedAt - *evidence.leasesConfirmedAt))
            : std::string("never");
    return {{"group", evidence.group},
            {"term", absl::StrCat(evidence.term)},
            {"cause", std::string(nameOf(evidence.cause))},
            {"endpoint", evidence.endpoint},
            {"old_primary", evidence.oldPrimary},
            {"try", absl::StrCat(evidence.tries)},
            {"leases_confirmed_ms_ago", confirmed},
            {"proof", std::string(nameOf(evidence.proof))},
            {"acknowledged", acknowledgedText(evidence)},
            {"acknowledged_check", std::string(nameOf(checkAcknowledged(evidence)))},
            {"fenced", fencedText(evidence)},
            {"not_fenced", absl::StrJoin(evidence.notFenced, " ")},
            {"processes", processesText(evidence)}};
}

auto logPromotion(const PromotionEvidence &evidence) -> void
{
    const auto fields = promotionFields(evidence);
    logLine(LogLevel::Info, "failover", "promotion ordered", fields);
    const auto check = checkAcknowledged(evidence);
    const auto lacksSome =
        check == AcknowledgedCheck::GivenUp || check == AcknowledgedCheck::Elsewhere;
    const auto verdict = judgePromotion(evidence);
    if (lacksSome && verdict == PromotionVerdict::LossAccepted)
        logLine(LogLevel::Warning, "failover", "promotion ordered without what was acknowledged",
                fields);
    if (verdict == PromotionVerdict::Unproved)
        logLine(LogLevel::Error, "failover", "promotion ordered without a proof", fields);
}

auto evidenceWaitFields(const EvidenceWait &wait) -> LogFields
{
    const auto &evidence = wait.evidence;
    return {{"group", evidence.group},
            {"term", absl::StrCat(evidence.term)},
            {"cause", std::string(nameOf(evidence.cause))},
            {"old_primary", evidence.oldPrimary},
            {"stage", std::string(nameOf(wait.stage))},
            {"waited_ms", absl::StrCat(toMillis(wait.waited))},
            {"acknowledged", acknowledgedText(evidence)},
            {"acknowledged_gap", std::string(nameOf(evidence.acknowledgedGap))},
            {"acknowledged_at_least", positionText(evidence.acknowledgedAtLeast)},
            {"fenced", fencedText(evidence)},
            {"not_fenced", absl::StrJoin(evidence.notFenced, " ")},
            {"processes", processesText(evidence)},
            {"proof", std::string(nameOf(evidence.proof))},
            {"endpoint", evidence.endpoint}};
}

auto logEvidenceWait(const EvidenceWait &wait) -> void
{
    const auto hasEnded = wait.stage == EvidenceWaitStage::Ended;
    logLine(hasEnded ? LogLevel::Info : LogLevel::Warning, "failover",
            hasEnded ? "failover no longer waits for evidence" : "failover waits for evidence",
            evidenceWaitFields(wait));
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
    logLine(
        LogLevel::Info, "failover", record.completed ? "failover completed" : "failover ended",
        {{"group", record.group},
         {"cause", std::string(nameOf(record.cause))},
         {"old_primary", record.oldPrimary},
         {"new_primary", record.newPrimary},
         {"term", absl::StrCat(record.term)},
         {"position", positionText(record.position)},
         {"proof", record.lastPromotion ? std::string(nameOf(record.lastPromotion->proof)) : ""},
         {"evidence_wait_ms", absl::StrCat(toMillis(record.evidenceWait))},
         {"duration_ms", absl::StrCat(toMillis(record.endedAt - began))},
         {"note", record.note}});
}

} // namespace auburnrail::detail
