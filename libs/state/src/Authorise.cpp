#include <state/Authorise.h>

#include <state/KeySecret.h>

namespace auburnrail {

namespace {

auto findOrganisation(const FleetObjects &objects, std::string_view keyText,
                      const std::string &clusterSecret)
    -> std::variant<const Organisation *, ReasonCode>
{
    const auto id = keyIdOf(keyText);
    const auto *key = id ? objects.find<Key>(*id) : nullptr;
    if (key == nullptr || !equalInConstantTime(key->hash, hashKey(keyText, clusterSecret)))
        return ReasonCode::KeyUnknown;
    // Checked after the secret, so that only its owner learns that the key existed.
    if (key->withdrawn)
        return ReasonCode::KeyWithdrawn;
    const auto *organisation = objects.find<Organisation>(key->organisation);
    if (organisation == nullptr)
        return ReasonCode::KeyUnknown;
    return organisation;
}

} // namespace

auto authorise(const FleetObjects &objects, std::string_view service, std::string_view keyText,
               const std::string &clusterSecret) -> std::variant<Authorisation, ReasonCode>
{
    if (objects.find<Service>(service) == nullptr)
        return ReasonCode::UnknownService;
    auto result = Authorisation();
    const Organisation *organisation = nullptr;
    if (!keyText.empty()) {
        const auto found = findOrganisation(objects, keyText, clusterSecret);
        if (const auto *reason = std::get_if<ReasonCode>(&found); reason != nullptr)
            return *reason;
        organisation = std::get<const Organisation *>(found);
        result.organisation = organisation->name;
        result.weight = organisation->weight;
    }
    auto permitted = false;
    for (const auto &name : objects.routesOf(service)) {
        const auto *route = objects.find<Route>(name);
        if (route == nullptr)
            continue;
        if (route->open) {
            permitted = true;
            result.isolatedReads = result.isolatedReads || route->isolatedReads;
        } else if (organisation != nullptr && !route->selector.empty()) {
            permitted = permitted || route->selector.matches(organisation->labels);
        }
    }
    if (permitted)
        return result;
    return organisation == nullptr ? ReasonCode::KeyMissing : ReasonCode::RouteDenied;
}

} // namespace auburnrail
