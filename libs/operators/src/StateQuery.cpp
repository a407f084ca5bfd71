#include <operators/StateQuery.h>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto STATE_PATH = "/v1/state";

auto readParameter(const std::string &key, const std::string &value, StateQuery &query,
                   Findings &findings) -> void
{
    if (key == "kind") {
        query.kind = parseName<ObjectKind>(value);
        if (!query.kind)
            findings.add(Place{"query", 0, "", key}, "unknown value '" + value + "'");
    } else if (key == "name") {
        query.name = value;
    } else if (key == "selector") {
        query.selector = Selector::parse(value, "query selector", findings);
    } else {
        findings.add(Place{"query", 0, "", key}, "unknown parameter");
    }
}

} // namespace

auto parseStateQuery(const std::string &target) -> absl::StatusOr<StateQuery>
{
    auto query = StateQuery();
    auto findings = Findings();
    try {
        for (const auto &[key, value] : Poco::URI(target).getQueryParameters())
            readParameter(key, value, query, findings);
    } catch (const Poco::Exception &error) {
        findings.add(Place{"query", 0, "", ""}, error.displayText());
    }
    if (auto status = findings.toStatus(); !status.ok())
        return status;
    return query;
}

auto targetOf(const StateQuery &query) -> std::string
{
    auto uri = Poco::URI();
    uri.setPath(STATE_PATH);
    if (query.kind)
        uri.addQueryParameter("kind", std::string(nameOf(*query.kind)));
    if (!query.name.empty())
        uri.addQueryParameter("name", query.name);
    if (!query.selector.empty())
        uri.addQueryParameter("selector", query.selector.toString());
    return uri.getPathAndQuery();
}

auto selectObjects(const FleetObjects &objects, const StateQuery &query) -> std::vector<FleetObject>
{
    auto result = std::vector<FleetObject>();
    if (query.kind && !query.name.empty()) {
        if (auto object = objects.object(*query.kind, query.name))
            result.push_back(std::move(*object));
    } else {
        objects.forEach([&query, &result](const FleetObject &object) -> void {
            if ((!query.kind || kindOf(object) == *query.kind)
                && (query.name.empty() || objectName(object) == query.name))
                result.push_back(object);
        });
    }
    std::erase_if(result, [&query](const FleetObject &object) -> bool {
        return !std::visit(
            [&query](const auto &value) { return query.selector.matches(value.labels); }, object);
    });
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) -> bool {
        return std::pair(left.index(), objectName(left))
               < std::pair(right.index(), objectName(right));
    });
    return result;
}

} // namespace auburnrail
