#include "FailoverJson.h"

#include "FailoverLines.h"

#include <control/AcknowledgedCheck.h>

#include <core/PositionText.h>

namespace auburnrail::detail {

namespace {

auto fencedJson(const PromotionEvidence &evidence) -> std::vector<JsonWriter>
{
    auto fenced = std::vector<JsonWriter>();
    for (const auto &endpoint : evidence.fenced) {
        auto writer = JsonWriter();
        writer.text("endpoint", endpoint.endpoint);
        writer.text("position", positionText(endpoint.position));
        writer.integer("age_ms", toMillis(evidence.orderedAt - endpoint.receivedAt));
        writer.boolean("was_primary", endpoint.wasPrimary);
        writer.boolean("rebuilding", endpoint.rebuilding);
        fenced.push_back(std::move(writer));
    }
    return fenced;
}

auto promotionJson(const PromotionEvidence &evidence, TimePoint now) -> JsonWriter
{
    auto writer = JsonWriter();
    writer.integer("ordered_ms_ago", toMillis(now - evidence.orderedAt));
    writer.integer("term", static_cast<std::int64_t>(evidence.term));
    writer.text("endpoint", evidence.endpoint);
    writer.integer("try", static_cast<std::int64_t>(evidence.tries));
    if (evidence.leasesConfirmedAt)
        writer.integer("leases_confirmed_ms_before",
                       toMillis(evidence.orderedAt - *evidence.leasesConfirmedAt));
    writer.text("proof", nameOf(evidence.proof));
    writeAcknowledged(evidence, writer);
    writer.text("acknowledged_check", nameOf(checkAcknowledged(evidence)));
    writer.objects("fenced", fencedJson(evidence)).texts("not_fenced", evidence.notFenced);
    return writer;
}

auto waitJson(const EvidenceWait &wait, TimePoint now) -> JsonWriter
{
    auto writer = JsonWriter();
    writer.integer("since_ms_ago", toMillis(now - wait.since));
    writer.integer("term", static_cast<std::int64_t>(wait.evidence.term));
    writeAcknowledged(wait.evidence, writer);
    writer.objects("fenced", fencedJson(wait.evidence));
    writer.texts("not_fenced", wait.evidence.notFenced);
    writer.boolean("processes_known", wait.evidence.areProcessesKnown);
    writer.texts("ended_processes", wait.evidence.ended);
    writer.texts("unidentified", wait.evidence.unidentified);
    return writer;
}

} // namespace

auto failoverJson(const FailoverRecord &record, TimePoint now) -> JsonWriter
{
    const auto end = record.endedAt == TimePoint() ? now : record.endedAt;
    auto phases = std::vector<JsonWriter>();
    for (auto index = std::size_t(0); index < record.phases.size(); ++index) {
        const auto isLast = index + 1 == record.phases.size();
        const auto next = isLast ? end : record.phases[index + 1].startedAt;
        auto writer = JsonWriter();
        writer.text("phase", nameOf(record.phases[index].phase));
        writer.integer("ms", toMillis(next - record.phases[index].startedAt));
        phases.push_back(std::move(writer));
    }
    auto writer = JsonWriter();
    writer.text("group", record.group).text("cause", nameOf(record.cause));
    writer.text("old_primary", record.oldPrimary).text("new_primary", record.newPrimary);
    writer.integer("term", static_cast<std::int64_t>(record.term));
    writer.integer("position_term", static_cast<std::int64_t>(record.position.term));
    writer.integer("position_index", static_cast<std::int64_t>(record.position.index));
    writer.boolean("completed", record.completed);
    writer.integer("ended_ms_ago", toMillis(now - end));
    writer.integer("evidence_wait_ms", toMillis(record.evidenceWait));
    writer.objects("phases", phases).text("note", record.note);
    if (record.waiting)
        writer.object("waits_for_evidence", waitJson(*record.waiting, now));
    if (record.lastPromotion)
        writer.object("last_promotion", promotionJson(*record.lastPromotion, now));
    return writer;
}

} // namespace auburnrail::detail
