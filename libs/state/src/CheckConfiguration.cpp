#include <state/CheckConfiguration.h>

#include <absl/strings/str_cat.h>

#include <set>
#include <string>

namespace auburnrail {

namespace {

/// Names defined so far in one configuration.
struct SeenNames
{
    std::set<std::pair<ObjectKind, std::string>> objects;
    std::set<std::string> services;
    std::set<std::string> organisations;
    std::set<std::string> databases;
};

auto placeOf(const FleetObject &object) -> Place
{
    return Place{.source = "configuration",
                 .section = std::string(nameOf(kindOf(object))),
                 .key = objectName(object)};
}

auto checkPart(const Route &route, SeenNames &seen, Findings &findings) -> void
{
    const auto place = placeOf(route);
    if (!seen.services.contains(route.service))
        findings.add(place, absl::StrCat("names the unknown service ", route.service));
    if (!route.sessions)
        return;
    if (route.sessions->statementTimeout <= Duration::zero())
        findings.add(place, "the statement timeout must be positive");
    if (!seen.databases.insert(route.sessions->database).second) {
        findings.add(place,
                     absl::StrCat("another route serves the database ", route.sessions->database));
    }
}

auto checkPart(const Key &key, const SeenNames &seen, Findings &findings) -> void
{
    if (!seen.organisations.contains(key.organisation))
        findings.add(placeOf(key),
                     absl::StrCat("names the unknown organisation ", key.organisation));
}

auto checkPart(const Organisation &organisation, Findings &findings) -> void
{
    // Negated so that NaN is reported too.
    if (!(organisation.ratePerSecond >= 0) || !(organisation.burst >= 0))
        findings.add(placeOf(organisation), "rate and burst must not be negative");
}

auto noteName(const FleetObject &object, SeenNames &seen, Findings &findings) -> void
{
    if (objectName(object).empty())
        findings.add(placeOf(object), "the name is missing");
    if (!seen.objects.emplace(kindOf(object), objectName(object)).second)
        findings.add(placeOf(object), "is defined twice");
    if (const auto *service = std::get_if<Service>(&object); service != nullptr)
        seen.services.insert(service->name);
    if (const auto *organisation = std::get_if<Organisation>(&object); organisation != nullptr)
        seen.organisations.insert(organisation->name);
}

} // namespace

auto checkConfiguration(const ReplaceConfiguration &configuration) -> Findings
{
    auto findings = Findings();
    auto seen = SeenNames();
    for (const auto &object : configuration.objects)
        noteName(object, seen, findings);
    for (const auto &object : configuration.objects) {
        if (const auto *route = std::get_if<Route>(&object); route != nullptr)
            checkPart(*route, seen, findings);
        else if (const auto *key = std::get_if<Key>(&object); key != nullptr)
            checkPart(*key, seen, findings);
        else if (const auto *organisation = std::get_if<Organisation>(&object);
                 organisation != nullptr)
            checkPart(*organisation, findings);
        else if (!std::holds_alternative<Service>(object))
            findings.add(placeOf(object), "a configuration does not define this kind of object");
    }
    return findings;
}

} // namespace auburnrail
