#include <state/ConfigurationReview.h>

#include <absl/strings/str_cat.h>

#include <map>
#include <utility>

namespace auburnrail {

namespace {

using ObjectsByName = std::map<std::pair<ObjectKind, std::string>, const FleetObject *>;

/// Collects the fields of an object that differ.
class FieldList
{
public:
    template <typename T>
    auto compare(std::string_view field, const T &before, const T &after) -> void
    {
        if (before != after)
            this->fields.push_back(
                absl::StrCat(std::string(field), ": ", toText(before), " -> ", toText(after)));
    }

    std::vector<std::string> fields;

private:
    static auto toText(bool value) -> std::string
    {
        return value ? "true" : "false";
    }

    static auto toText(Duration value) -> std::string
    {
        return absl::StrCat(toMillis(value), " ms");
    }

    static auto toText(ReadConsistency value) -> std::string
    {
        return std::string(nameOf(value));
    }

    template <typename T>
    static auto toText(const T &value) -> std::string
    {
        return absl::StrCat(value);
    }
};

auto compareFields(const Service &before, const Service &after, FieldList &list) -> void
{
    list.compare("connection_limit", before.connectionLimit, after.connectionLimit);
    list.compare("synchronous_replicas", before.synchronousReplicas, after.synchronousReplicas);
}

auto compareFields(const Organisation &before, const Organisation &after, FieldList &list) -> void
{
    list.compare("rate_per_second", before.ratePerSecond, after.ratePerSecond);
    list.compare("burst", before.burst, after.burst);
    list.compare("weight", before.weight, after.weight);
}

auto compareFields(const Route &before, const Route &after, FieldList &list) -> void
{
    list.compare("service", before.service, after.service);
    list.compare("open", before.open, after.open);
    list.compare("selector", before.selector.toString(), after.selector.toString());
    const auto was = before.sessions.value_or(SessionPolicy());
    const auto becomes = after.sessions.value_or(SessionPolicy());
    list.compare("database", was.database, becomes.database);
    list.compare("consistency", was.consistency, becomes.consistency);
    list.compare("max_staleness", was.maxStaleness, becomes.maxStaleness);
    list.compare("statement_timeout", was.statementTimeout, becomes.statementTimeout);
    list.compare("latency_objective", was.latencyObjective, becomes.latencyObjective);
    list.compare("transaction_idle_limit", was.transactionIdleLimit, becomes.transactionIdleLimit);
    list.compare("priority", was.priority, becomes.priority);
    list.compare("max_attempts", was.maxAttempts, becomes.maxAttempts);
}

auto compareFields(const Key &before, const Key &after, FieldList &list) -> void
{
    list.compare("organisation", before.organisation, after.organisation);
}

/// Documents define no objects of other kinds.
template <typename T>
auto compareFields(const T & /*before*/, const T & /*after*/, FieldList & /*list*/) -> void
{
}

auto byName(const std::vector<FleetObject> &objects) -> ObjectsByName
{
    auto result = ObjectsByName();
    for (const auto &object : objects)
        result.emplace(std::pair(kindOf(object), objectName(object)), &object);
    return result;
}

auto changedFields(const FleetObject &before, const FleetObject &after) -> std::vector<std::string>
{
    auto list = FieldList();
    std::visit(
        [&](const auto &old) {
            using T = std::decay_t<decltype(old)>;
            compareFields(old, std::get<T>(after), list);
        },
        before);
    return std::move(list.fields);
}

} // namespace

auto differencesBetween(const std::vector<FleetObject> &before,
                        const std::vector<FleetObject> &after)
    -> std::vector<ConfigurationDifference>
{
    const auto old = byName(before);
    const auto current = byName(after);
    auto differences = std::vector<ConfigurationDifference>();
    for (const auto &[id, object] : current) {
        const auto found = old.find(id);
        if (found == old.end()) {
            differences.push_back({DifferenceKind::Added, id.first, id.second, {}});
            continue;
        }
        auto fields = changedFields(*found->second, *object);
        if (!fields.empty())
            differences.push_back(
                {DifferenceKind::Changed, id.first, id.second, std::move(fields)});
    }
    for (const auto &[id, object] : old) {
        if (!current.contains(id))
            differences.push_back({DifferenceKind::Removed, id.first, id.second, {}});
    }
    return differences;
}

} // namespace auburnrail
