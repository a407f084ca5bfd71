#include "ObjectRules.h"

#include "Limits.h"

#include <core/Name.h>

#include <absl/strings/str_cat.h>

#include <cmath>
#include <string>
#include <utility>

namespace auburnrail::detail {

namespace {

using Problem = std::optional<CommandResult>;

constexpr auto MAX_RATE = 1e9;
constexpr auto KEY_HASH_DIGITS = std::size_t(64);

auto invalid(std::string message) -> Problem
{
    return refuseCommand(CommandStatus::Invalid, std::move(message));
}

/// False for NaN.
auto isWithin(double value, double minimum, double maximum) -> bool
{
    return value >= minimum && value <= maximum;
}

auto check(const FleetObjects & /*objects*/, const Service &service) -> Problem
{
    if (!isName(service.group))
        return invalid("group: is not a name");
    return std::nullopt;
}

auto check(const FleetObjects & /*objects*/, const Organisation &organisation) -> Problem
{
    if (!isWithin(organisation.ratePerSecond, 0, MAX_RATE))
        return invalid("rate: must be from 0 to 1e9 requests per second");
    if (!isWithin(organisation.burst, 1, MAX_RATE))
        return invalid("burst: must be from 1 to 1e9 requests");
    if (!isWithin(organisation.weight, 0.001, 1000))
        return invalid("weight: must be from 0.001 to 1000");
    return std::nullopt;
}

auto check(const FleetObjects &objects, const Key &key) -> Problem
{
    if (objects.find<Key>(key.id) != nullptr) {
        return refuseCommand(CommandStatus::AlreadyExists,
                             absl::StrCat("key ", key.id, " exists; keys are never changed"));
    }
    if (objects.find<Organisation>(key.organisation) == nullptr) {
        return refuseCommand(CommandStatus::NotFound,
                             absl::StrCat("no organisation ", key.organisation));
    }
    if (key.hash.size() != KEY_HASH_DIGITS
        || key.hash.find_first_not_of("0123456789abcdef") != std::string::npos)
        return invalid("hash: must be 64 hex digits");
    return std::nullopt;
}

auto check(const FleetObjects &objects, const Route &route) -> Problem
{
    if (objects.find<Service>(route.service) == nullptr)
        return refuseCommand(CommandStatus::NotFound, absl::StrCat("no service ", route.service));
    if (route.open && !route.selector.empty())
        return invalid("selector: an open route takes none");
    // An empty selector would match every organisation, which is more likely a mistake than
    // intended.
    if (!route.open && route.selector.empty())
        return invalid("selector: must be set on a route that is not open");
    if (route.isolatedReads && !route.open)
        return invalid("isolated_reads: needs an open route");
    return std::nullopt;
}

auto check(const FleetObjects & /*objects*/, const Group & /*group*/) -> Problem
{
    return std::nullopt;
}

auto check(const FleetObjects &objects, const Endpoint &endpoint) -> Problem
{
    if (!isName(endpoint.group))
        return invalid("group: is not a name");
    if (!isName(endpoint.zone))
        return invalid("zone: is not a name");
    if (endpoint.address.empty() || endpoint.address.size() > MAX_NAME_BYTES)
        return invalid("address: must be IP:port");
    const auto *existing = objects.find<Endpoint>(endpoint.name);
    if (existing != nullptr && existing->group != endpoint.group) {
        return refuseCommand(CommandStatus::AlreadyExists,
                             absl::StrCat("endpoint ", endpoint.name, " is in group ",
                                          existing->group, "; delete it there first"));
    }
    return std::nullopt;
}

auto check(const FleetObjects & /*objects*/, const Objective &objective) -> Problem
{
    const auto isShare = objective.kind == ObjectiveKind::Availability
                         || objective.kind == ObjectiveKind::WrongfulRefusals;
    if (!isWithin(objective.target, 0, isShare ? 1 : MAX_RATE))
        return invalid(isShare ? "target: must be from 0 to 1" : "target: must be from 0 to 1e9");
    if (objective.window <= Duration::zero())
        return invalid("window: must be positive");
    return std::nullopt;
}

/// Documents are only stored by ReplaceConfiguration, which checks the whole configuration.
auto check(const FleetObjects & /*objects*/, const ConfigurationDocument & /*document*/) -> Problem
{
    return invalid("a configuration document is replaced as a whole, not set");
}

auto check(const FleetObjects & /*objects*/, const Entry & /*entry*/) -> Problem
{
    return std::nullopt;
}

auto check(const FleetObjects & /*objects*/, const Zone & /*zone*/) -> Problem
{
    return std::nullopt;
}

auto isGroupInUse(const FleetObjects &objects, const std::string &group) -> bool
{
    auto inUse = !objects.endpointsOf(group).empty();
    objects.table<Service>().forEach([&inUse, &group](const Service &service) -> void {
        inUse = inUse || service.group == group;
    });
    return inUse;
}

auto isOrganisationInUse(const FleetObjects &objects, const std::string &organisation) -> bool
{
    auto inUse = false;
    objects.table<Key>().forEach([&inUse, &organisation](const Key &key) -> void {
        inUse = inUse || key.organisation == organisation;
    });
    return inUse;
}

auto isPrimary(const FleetObjects &objects, const Endpoint &endpoint) -> bool
{
    const auto *group = objects.find<Group>(endpoint.group);
    return group != nullptr && group->primary == endpoint.name;
}

/// Why the object is in use, or an empty text.
auto usersOf(const FleetObjects &objects, const FleetObject &object) -> std::string
{
    const auto &name = objectName(object);
    if (std::holds_alternative<ConfigurationDocument>(object))
        return "objects follow from it";
    if (std::holds_alternative<Service>(object) && !objects.routesOf(name).empty())
        return "routes refer to it";
    if (std::holds_alternative<Organisation>(object) && isOrganisationInUse(objects, name))
        return "it has keys";
    if (std::holds_alternative<Group>(object) && isGroupInUse(objects, name))
        return "endpoints or services refer to it";
    if (const auto *key = std::get_if<Key>(&object); key != nullptr && !key->withdrawn)
        return "it is not withdrawn";
    if (const auto *endpoint = std::get_if<Endpoint>(&object);
        endpoint != nullptr && isPrimary(objects, *endpoint))
        return "it is the primary of its group";
    return {};
}

} // namespace

auto refuseCommand(CommandStatus status, std::string message) -> CommandResult
{
    return CommandResult{.status = status, .message = std::move(message)};
}

auto checkLabels(const Labels &labels) -> std::optional<CommandResult>
{
    if (labels.size() > MAX_LABELS)
        return invalid("labels: more than 64");
    for (const auto &[key, value] : labels) {
        if (!isName(key) || !isName(value))
            return invalid(absl::StrCat("labels: '", key, "=", value, "' is not made of names"));
    }
    return std::nullopt;
}

auto checkObject(const FleetObjects &objects, const FleetObject &proposed)
    -> std::optional<CommandResult>
{
    if (!isName(objectName(proposed)))
        return invalid("name: must be 1 to 128 of letters, digits and . _ - / :");
    return std::visit(
        [&objects](const auto &object) -> Problem {
            auto problem = checkLabels(object.labels);
            return problem ? problem : check(objects, object);
        },
        proposed);
}

auto mergeObject(FleetObject proposed, const std::optional<FleetObject> &existing) -> FleetObject
{
    if (auto *group = std::get_if<Group>(&proposed); group != nullptr) {
        const auto *old = existing ? std::get_if<Group>(&*existing) : nullptr;
        group->term = old == nullptr ? 0 : old->term;
        group->phase = old == nullptr ? GroupPhase::Serving : old->phase;
        group->primary = old == nullptr ? "" : old->primary;
        group->primaryStartedAt = old == nullptr ? 0 : old->primaryStartedAt;
        group->isAwaitingEvidence = old != nullptr && old->isAwaitingEvidence;
        group->evidence = old == nullptr ? TermEvidence() : old->evidence;
    }
    if (auto *key = std::get_if<Key>(&proposed); key != nullptr)
        key->withdrawn = false;
    if (existing) {
        std::visit(
            [&proposed](const auto &old) -> void {
                auto &labels = std::get<std::decay_t<decltype(old)>>(proposed).labels;
                // Where both have a key, insert() keeps the value in `labels`.
                labels.insert(old.labels.begin(), old.labels.end());
            },
            *existing);
    }
    return proposed;
}

auto checkDeletion(const FleetObjects &objects, const FleetObject &object)
    -> std::optional<CommandResult>
{
    const auto users = usersOf(objects, object);
    if (users.empty())
        return std::nullopt;
    return refuseCommand(CommandStatus::InUse, absl::StrCat(std::string(nameOf(kindOf(object))),
                                                            " ", objectName(object), ": ", users));
}

} // namespace auburnrail::detail
