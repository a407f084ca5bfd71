#include <state/ConfigurationReview.h>

#include <state/CheckConfiguration.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace auburnrail {

namespace {

auto placeOf(const FleetObject &object) -> Place
{
    return Place{.source = std::string(nameOf(kindOf(object))), .key = objectName(object)};
}

/// Names that other objects of the configuration refer to.
struct References
{
    std::set<std::string> servicesOfRoutes;
    std::set<std::string> organisationsOfKeys;
    std::vector<Labels> organisationLabels;
};

auto referencesIn(const std::vector<FleetObject> &objects) -> References
{
    auto references = References();
    for (const auto &object : objects) {
        if (const auto *route = std::get_if<Route>(&object); route != nullptr)
            references.servicesOfRoutes.insert(route->service);
        if (const auto *key = std::get_if<Key>(&object); key != nullptr && !key->withdrawn)
            references.organisationsOfKeys.insert(key->organisation);
        if (const auto *organisation = std::get_if<Organisation>(&object);
            organisation != nullptr) {
            auto labels = organisation->labels;
            labels.insert_or_assign(CONFIGURATION_LABEL, CONFIGURATION_LABEL_VALUE);
            references.organisationLabels.push_back(std::move(labels));
        }
    }
    return references;
}

auto findUnmatched(const FleetObject &object, const References &references, Findings &findings)
    -> void
{
    const auto place = placeOf(object);
    if (std::holds_alternative<Service>(object) && !references.servicesOfRoutes.contains(place.key))
        findings.add(place, "no route leads to it");
    if (std::holds_alternative<Organisation>(object)
        && !references.organisationsOfKeys.contains(place.key))
        findings.add(place, "it has no key, so that no caller can be it");
    const auto *route = std::get_if<Route>(&object);
    if (route == nullptr || route->open)
        return;
    const auto isMatched =
        std::any_of(references.organisationLabels.begin(), references.organisationLabels.end(),
                    [&](const Labels &labels) { return route->selector.matches(labels); });
    if (!isMatched)
        findings.add(place, "its selector matches no organisation of the configuration");
}

auto findContradictions(const FleetObject &object, Findings &findings) -> void
{
    const auto place = placeOf(object);
    if (const auto *organisation = std::get_if<Organisation>(&object); organisation != nullptr) {
        if (organisation->burst < 1)
            findings.add(place, "a burst below 1 admits no request, whatever the rate is");
        else if (organisation->ratePerSecond <= 0)
            findings.add(place, "without a rate nothing is admitted once the burst is used up");
    }
    if (const auto *service = std::get_if<Service>(&object);
        service != nullptr && service->connectionLimit == 0)
        findings.add(place, "a connection limit of 0 lets no statement reach its servers");
    const auto *route = std::get_if<Route>(&object);
    if (route == nullptr || !route->sessions)
        return;
    const auto &policy = *route->sessions;
    if (policy.latencyObjective > policy.statementTimeout)
        findings.add(place,
                     absl::StrCat("a statement ends after ", toMillis(policy.statementTimeout),
                                  " ms, before it can miss its objective of ",
                                  toMillis(policy.latencyObjective), " ms"));
    if (policy.consistency != ReadConsistency::Primary && policy.maxStaleness <= Duration::zero())
        findings.add(place, "reads that may have no age all go to the primary");
}

} // namespace

auto reviewConfiguration(const ReplaceConfiguration &proposed, const ReplaceConfiguration *inForce)
    -> ConfigurationReview
{
    auto review = ConfigurationReview{.errors = checkConfiguration(proposed),
                                      .unmatched = {},
                                      .contradictions = {},
                                      .differences = {}};
    const auto references = referencesIn(proposed.objects);
    for (const auto &object : proposed.objects) {
        findUnmatched(object, references, review.unmatched);
        findContradictions(object, review.contradictions);
    }
    if (inForce == nullptr)
        return review;
    review.differences = differencesBetween(inForce->objects, proposed.objects);
    if (proposed.document.version <= inForce->document.version) {
        review.contradictions.add(
            Place{.source = "configuration", .key = "version"},
            absl::StrCat("version ", proposed.document.version, " is not higher than version ",
                         inForce->document.version, " in force: it would change nothing"));
    }
    return review;
}

} // namespace auburnrail
