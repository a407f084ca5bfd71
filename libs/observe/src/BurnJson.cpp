#include <observe/BurnJson.h>

namespace auburnrail {

namespace {

auto statusJson(const BurnStatus &status) -> JsonWriter
{
    auto rates = std::vector<JsonWriter>();
    for (const auto &rate : status.rates) {
        auto object = JsonWriter();
        object.text("rule", rate.rule)
            .number("short", rate.shortRate)
            .number("long", rate.longRate)
            .number("factor", rate.factor)
            .boolean("burning", rate.burning);
        rates.push_back(std::move(object));
    }
    auto spenders = std::vector<JsonWriter>();
    for (const auto &spender : status.spenders) {
        auto object = JsonWriter();
        object.text("reason", nameOf(spender.reason))
            .text("service", spender.service)
            .text("organisation", spender.organisation)
            .integer("bad", static_cast<std::int64_t>(spender.bad))
            .number("part", spender.part);
        spenders.push_back(std::move(object));
    }
    auto json = JsonWriter();
    json.text("objective", status.objective)
        .text("kind", nameOf(status.kind))
        .number("target", status.target)
        .integer("good", static_cast<std::int64_t>(status.count.good))
        .integer("bad", static_cast<std::int64_t>(status.count.bad))
        .number("remaining_budget", status.remainingBudget)
        .objects("rates", rates)
        .objects("spenders", spenders);
    return json;
}

} // namespace

auto burnJson(const std::vector<BurnStatus> &statuses) -> JsonWriter
{
    auto objects = std::vector<JsonWriter>();
    objects.reserve(statuses.size());
    for (const auto &status : statuses)
        objects.push_back(statusJson(status));
    auto json = JsonWriter();
    json.objects("objectives", objects);
    return json;
}

} // namespace auburnrail
