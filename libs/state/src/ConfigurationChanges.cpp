#include "ConfigurationChanges.h"

#include <set>
#include <utility>

namespace auburnrail::detail {

namespace {

auto isFromDocument(const FleetObject &object) -> bool
{
    return std::visit(
        [](const auto &value) {
            const auto label = value.labels.find(CONFIGURATION_LABEL);
            return label != value.labels.end() && label->second == CONFIGURATION_LABEL_VALUE;
        },
        object);
}

/// The wanted object with the additional labels and the revision of the one it replaces.
auto mergeOverExisting(FleetObject wanted, const FleetObject &existing) -> FleetObject
{
    std::visit(
        [&wanted](const auto &old) {
            auto &value = std::get<std::decay_t<decltype(old)>>(wanted);
            value.labels.insert(old.labels.begin(), old.labels.end());
            value.changedAt = old.changedAt;
        },
        existing);
    return wanted;
}

} // namespace

auto configurationChanges(const FleetObjects &current, const std::vector<FleetObject> &wanted)
    -> std::vector<FleetChange>
{
    auto changes = std::vector<FleetChange>();
    auto kept = std::set<std::pair<ObjectKind, std::string>>();
    for (auto object : wanted) {
        const auto kind = kindOf(object);
        const auto name = objectName(object);
        kept.emplace(kind, name);
        std::visit(
            [](auto &value) {
                value.labels.insert_or_assign(CONFIGURATION_LABEL, CONFIGURATION_LABEL_VALUE);
            },
            object);
        const auto existing = current.object(kind, name);
        if (existing)
            object = mergeOverExisting(std::move(object), *existing);
        if (!existing || object != *existing)
            changes.push_back(FleetChange{.kind = kind, .name = name, .object = std::move(object)});
    }
    current.forEach([&](const FleetObject &object) {
        if (kindOf(object) != ObjectKind::Document && isFromDocument(object)
            && !kept.contains({kindOf(object), objectName(object)}))
            changes.push_back(FleetChange{.kind = kindOf(object), .name = objectName(object)});
    });
    return changes;
}

} // namespace auburnrail::detail
