#include "FailoverJson.h"

namespace auburnrail::detail {

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
    writer.objects("phases", phases).text("note", record.note);
    return writer;
}

} // namespace auburnrail::detail
