#include "FleetConversion.h"

#include "DecodeFault.h"
#include "EnumConversion.h"
#include "EvidenceConversion.h"

#include <utility>

namespace auburnrail::detail {

namespace {

auto signedOf(std::uint64_t value) -> std::int64_t
{
    return static_cast<std::int64_t>(value);
}

auto unsignedOf(std::int64_t value) -> std::uint64_t
{
    return static_cast<std::uint64_t>(value);
}

auto parseSelector(const std::string &text) -> Selector
{
    auto findings = Findings();
    auto selector = Selector::parse(text, "selector", findings);
    if (!findings.empty())
        throw DecodeFault(findings.toString());
    return selector;
}

/// Fills what every kind of object has.
template <typename From, typename To>
auto copyLabels(From &&from, To &to) -> void
{
    to.labels.insert(from.labels.begin(), from.labels.end());
    to.changedAt = static_cast<decltype(to.changedAt)>(from.changedAt);
}

auto convert(const Service &from, wire::FleetObject &result) -> void
{
    auto to = wire::Service();
    to.name = from.name;
    to.group = from.group;
    to.connectionLimit = static_cast<std::int32_t>(from.connectionLimit);
    to.synchronousReplicas = static_cast<std::int32_t>(from.synchronousReplicas);
    copyLabels(from, to);
    result.__set_serviceObject(to);
}

auto convert(const Organisation &from, wire::FleetObject &result) -> void
{
    auto to = wire::Organisation();
    to.name = from.name;
    to.ratePerSecond = from.ratePerSecond;
    to.burst = from.burst;
    to.weight = from.weight;
    copyLabels(from, to);
    result.__set_organisation(to);
}

auto convert(const Key &from, wire::FleetObject &result) -> void
{
    auto to = wire::Key();
    to.id = from.id;
    to.organisation = from.organisation;
    to.hash = from.hash;
    to.withdrawn = from.withdrawn;
    copyLabels(from, to);
    result.__set_key(to);
}

auto policyToWire(const SessionPolicy &from) -> wire::SessionPolicy
{
    auto to = wire::SessionPolicy();
    to.database = from.database;
    to.consistency = toWireEnum(from.consistency);
    to.maxStalenessNanoseconds = from.maxStaleness.count();
    to.statementTimeoutNanoseconds = from.statementTimeout.count();
    to.latencyObjectiveNanoseconds = from.latencyObjective.count();
    to.transactionIdleLimitNanoseconds = from.transactionIdleLimit.count();
    to.priority = static_cast<std::int32_t>(from.priority);
    to.maxAttempts = static_cast<std::int32_t>(from.maxAttempts);
    return to;
}

auto policyFromWire(wire::SessionPolicy &&from) -> SessionPolicy
{
    return SessionPolicy{
        .database = std::move(from.database),
        .consistency = fromWireEnum<ReadConsistency>(from.consistency),
        .maxStaleness = Duration(from.maxStalenessNanoseconds),
        .statementTimeout = Duration(from.statementTimeoutNanoseconds),
        .latencyObjective = Duration(from.latencyObjectiveNanoseconds),
        .transactionIdleLimit = Duration(from.transactionIdleLimitNanoseconds),
        .priority = static_cast<std::uint32_t>(from.priority),
        .maxAttempts = static_cast<std::uint32_t>(from.maxAttempts),
    };
}

auto convert(const Route &from, wire::FleetObject &result) -> void
{
    auto to = wire::Route();
    to.name = from.name;
    to.serviceName = from.service;
    to.selector = from.selector.toString();
    to.open = from.open;
    to.isolatedReads = from.isolatedReads;
    if (from.sessions)
        to.__set_sessions(policyToWire(*from.sessions));
    copyLabels(from, to);
    result.__set_route(to);
}

auto convert(const Group &from, wire::FleetObject &result) -> void
{
    auto to = wire::Group();
    to.name = from.name;
    to.term = signedOf(from.term);
    to.phase = toWireEnum(from.phase);
    to.primary = from.primary;
    to.primaryStartedAt = signedOf(from.primaryStartedAt);
    to.isAwaitingEvidence = from.isAwaitingEvidence;
    if (from.evidence != TermEvidence())
        to.__set_evidence(toWire(from.evidence));
    copyLabels(from, to);
    result.__set_databaseGroup(to);
}

auto convert(const Endpoint &from, wire::FleetObject &result) -> void
{
    auto to = wire::Endpoint();
    to.name = from.name;
    to.group = from.group;
    to.zone = from.zone;
    to.address = from.address;
    to.connectionLimit = static_cast<std::int32_t>(from.connectionLimit);
    to.leaving = from.leaving;
    to.startedAt = signedOf(from.startedAt);
    copyLabels(from, to);
    result.__set_endpoint(to);
}

auto convert(const Objective &from, wire::FleetObject &result) -> void
{
    auto to = wire::Objective();
    to.name = from.name;
    to.kind = toWireEnum(from.kind);
    to.selector = from.selector.toString();
    to.target = from.target;
    to.windowNanoseconds = from.window.count();
    copyLabels(from, to);
    result.__set_objective(to);
}

auto convert(const ConfigurationDocument &from, wire::FleetObject &result) -> void
{
    result.__set_document(detail::toWire(from));
}

auto convert(const Entry &from, wire::FleetObject &result) -> void
{
    auto to = wire::Entry();
    to.name = from.name;
    copyLabels(from, to);
    result.__set_entry(to);
}

auto convert(const Zone &from, wire::FleetObject &result) -> void
{
    auto to = wire::Zone();
    to.name = from.name;
    to.evacuated = from.evacuated;
    copyLabels(from, to);
    result.__set_zone(to);
}

auto convert(wire::Service &&from) -> FleetObject
{
    auto to = Service{.name = std::move(from.name),
                      .group = std::move(from.group),
                      .connectionLimit = static_cast<std::uint32_t>(from.connectionLimit),
                      .synchronousReplicas = static_cast<std::uint32_t>(from.synchronousReplicas)};
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Organisation &&from) -> FleetObject
{
    auto to = Organisation{.name = std::move(from.name),
                           .ratePerSecond = from.ratePerSecond,
                           .burst = from.burst,
                           .weight = from.weight};
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Key &&from) -> FleetObject
{
    auto to = Key{.id = std::move(from.id),
                  .organisation = std::move(from.organisation),
                  .hash = std::move(from.hash),
                  .withdrawn = from.withdrawn};
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Route &&from) -> FleetObject
{
    auto to = Route{.name = std::move(from.name),
                    .service = std::move(from.serviceName),
                    .selector = parseSelector(from.selector),
                    .open = from.open,
                    .isolatedReads = from.isolatedReads};
    if (from.__isset.sessions)
        to.sessions = policyFromWire(std::move(from.sessions));
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Group &&from) -> FleetObject
{
    auto to = Group{.name = std::move(from.name),
                    .term = unsignedOf(from.term),
                    .phase = fromWireEnum<GroupPhase>(from.phase),
                    .primary = std::move(from.primary),
                    .primaryStartedAt = unsignedOf(from.primaryStartedAt),
                    .isAwaitingEvidence = from.isAwaitingEvidence};
    if (from.__isset.evidence)
        to.evidence = fromWire(std::move(from.evidence));
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Endpoint &&from) -> FleetObject
{
    auto to = Endpoint{.name = std::move(from.name),
                       .group = std::move(from.group),
                       .zone = std::move(from.zone),
                       .address = std::move(from.address),
                       .connectionLimit = static_cast<std::uint32_t>(from.connectionLimit),
                       .leaving = from.leaving,
                       .startedAt = unsignedOf(from.startedAt)};
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Objective &&from) -> FleetObject
{
    auto to = Objective{.name = std::move(from.name),
                        .kind = fromWireEnum<ObjectiveKind>(from.kind),
                        .selector = parseSelector(from.selector),
                        .target = from.target,
                        .window = Duration(from.windowNanoseconds)};
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Entry &&from) -> FleetObject
{
    auto to = Entry{.name = std::move(from.name)};
    copyLabels(std::move(from), to);
    return to;
}

auto convert(wire::Zone &&from) -> FleetObject
{
    auto to = Zone{.name = std::move(from.name), .evacuated = from.evacuated};
    copyLabels(std::move(from), to);
    return to;
}

} // namespace

auto toWire(const ConfigurationDocument &document) -> wire::ConfigurationDocument
{
    auto to = wire::ConfigurationDocument();
    to.name = document.name;
    to.version = signedOf(document.version);
    to.text = document.text;
    copyLabels(document, to);
    return to;
}

auto fromWire(wire::ConfigurationDocument &&document) -> ConfigurationDocument
{
    auto to = ConfigurationDocument{.name = std::move(document.name),
                                    .version = unsignedOf(document.version),
                                    .text = std::move(document.text)};
    copyLabels(std::move(document), to);
    return to;
}

auto toWire(const FleetObject &object) -> wire::FleetObject
{
    auto result = wire::FleetObject();
    std::visit([&result](const auto &value) -> void { convert(value, result); }, object);
    return result;
}

auto fromWire(wire::FleetObject &&object) -> FleetObject
{
    const auto &isSet = object.__isset;
    const auto count = int(isSet.serviceObject) + int(isSet.organisation) + int(isSet.key)
                       + int(isSet.route) + int(isSet.databaseGroup) + int(isSet.endpoint)
                       + int(isSet.objective) + int(isSet.document) + int(isSet.entry)
                       + int(isSet.zone);
    if (count != 1)
        throw DecodeFault("an object is not of exactly one kind");
    if (isSet.serviceObject)
        return convert(std::move(object.serviceObject));
    if (isSet.organisation)
        return convert(std::move(object.organisation));
    if (isSet.key)
        return convert(std::move(object.key));
    if (isSet.route)
        return convert(std::move(object.route));
    if (isSet.databaseGroup)
        return convert(std::move(object.databaseGroup));
    if (isSet.endpoint)
        return convert(std::move(object.endpoint));
    if (isSet.document)
        return fromWire(std::move(object.document));
    if (isSet.entry)
        return convert(std::move(object.entry));
    if (isSet.zone)
        return convert(std::move(object.zone));
    return convert(std::move(object.objective));
}

auto toWire(const FleetChange &change) -> wire::FleetChange
{
    auto result = wire::FleetChange();
    result.revision = signedOf(change.revision);
    result.kind = toWireEnum(change.kind);
    result.name = change.name;
    if (change.object)
        result.__set_fleetObject(toWire(*change.object));
    return result;
}

auto fromWire(wire::FleetChange &&change) -> FleetChange
{
    auto result = FleetChange{.revision = unsignedOf(change.revision),
                              .kind = fromWireEnum<ObjectKind>(change.kind),
                              .name = std::move(change.name)};
    if (!change.__isset.fleetObject)
        return result;
    result.object = fromWire(std::move(change.fleetObject));
    if (kindOf(*result.object) != result.kind || objectName(*result.object) != result.name)
        throw DecodeFault("a change names another object than it carries");
    return result;
}

} // namespace auburnrail::detail
