#include "ProcessChanges.h"

#include <set>
#include <utility>

namespace auburnrail::detail {

namespace {

auto processOf(const Endpoint &endpoint) -> EndpointProcess
{
    return EndpointProcess{.endpoint = endpoint.name, .startedAt = endpoint.startedAt};
}

auto isSameProcess(const Endpoint &left, const Endpoint &right) -> bool
{
    return left.group == right.group && processOf(left) == processOf(right);
}

auto addEnded(TermEvidence &evidence, const EndpointProcess &process) -> void
{
    if (evidence.publishedIn == 0)
        return;
    evidence.ended.push_back(process);
    if (evidence.ended.size() > TermEvidence::MAX_ENDED) {
        evidence.publishedIn = 0;
        evidence.ended.clear();
    }
}

} // namespace

auto groupsAfterProcessChange(const FleetObjects &objects, const std::string &name,
                              const Endpoint *next) -> std::vector<Group>
{
    const auto *former = objects.find<Endpoint>(name);
    const auto hasEnded = former != nullptr && (next == nullptr || !isSameProcess(*former, *next));
    auto groups = std::set<std::string>();
    if (former != nullptr)
        groups.insert(former->group);
    if (next != nullptr)
        groups.insert(next->group);
    auto changed = std::vector<Group>();
    for (const auto &groupName : groups) {
        const auto *existing = objects.find<Group>(groupName);
        if (existing == nullptr)
            continue;
        auto group = *existing;
        // The primary confirms no commit of its own.
        if (hasEnded && former->group == groupName && group.primary != name)
            addEnded(group.evidence, processOf(*former));
        if (next != nullptr && next->group == groupName)
            std::erase(group.evidence.ended, processOf(*next));
        if (group.evidence != existing->evidence)
            changed.push_back(std::move(group));
    }
    return changed;
}

} // namespace auburnrail::detail
