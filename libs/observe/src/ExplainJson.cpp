#include <observe/ExplainJson.h>

#include <vector>

namespace auburnrail {

auto explainJson(const ExplainRecord &record) -> JsonWriter
{
    auto facts = std::vector<JsonWriter>();
    for (const auto &fact : record.facts) {
        auto object = JsonWriter();
        object.text("name", fact.name).text("value", fact.value);
        facts.push_back(std::move(object));
    }
    auto json = JsonWriter();
    json.text("kind", nameOf(record.kind))
        .text("id", record.id)
        .text("organisation", record.organisation)
        .text("service", record.service)
        .integer("at_ms", record.atMillis)
        .text("decision", record.decision)
        .text("reason", nameOf(record.reason))
        .objects("facts", facts);
    return json;
}

} // namespace auburnrail
