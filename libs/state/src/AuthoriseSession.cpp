#include <state/AuthoriseSession.h>

#include <state/KeySecret.h>

namespace auburnrail {

namespace {

constexpr auto DOCUMENT_KEY_PREFIX = std::string_view("document-");
/// Number of hex digits of the hash in the id: 128 bits, enough to rule out collisions.
constexpr auto DOCUMENT_KEY_DIGITS = std::size_t(32);

auto idOfHash(const std::string &hash) -> std::string
{
    return std::string(DOCUMENT_KEY_PREFIX) + hash.substr(0, DOCUMENT_KEY_DIGITS);
}

/// The organisation that the key identifies, if the key is valid.
auto organisationOf(const FleetObjects &objects, const std::optional<std::string> &keyId)
    -> const Organisation *
{
    const auto *key = keyId ? objects.find<Key>(*keyId) : nullptr;
    return key == nullptr || key->withdrawn ? nullptr
                                            : objects.find<Organisation>(key->organisation);
}

} // namespace

auto documentKeyId(std::string_view keyText, const std::string &clusterSecret) -> std::string
{
    return idOfHash(hashKey(keyText, clusterSecret));
}

auto findKeyId(const FleetObjects &objects, std::string_view keyText,
               const std::string &clusterSecret) -> std::optional<std::string>
{
    const auto hash = hashKey(keyText, clusterSecret);
    // A key of a configuration may have the form of an issued one.
    for (const auto &id : {keyIdOf(keyText).value_or(""), idOfHash(hash)}) {
        const auto *key = objects.find<Key>(id);
        if (key != nullptr && !key->withdrawn && equalInConstantTime(key->hash, hash))
            return id;
    }
    return std::nullopt;
}

auto authoriseOperation(const FleetObjects &objects, std::string_view database,
                        const std::optional<std::string> &keyId)
    -> std::variant<OperationAuthorisation, ReasonCode>
{
    const auto *route = objects.routeOfDatabase(database);
    const auto *service = route == nullptr ? nullptr : objects.find<Service>(route->service);
    if (service == nullptr)
        return ReasonCode::UnknownService;
    auto result = OperationAuthorisation{.policy = *route->sessions, .group = service->group};
    result.needsKey = !route->open;
    const auto *organisation = organisationOf(objects, keyId);
    if (organisation != nullptr) {
        result.organisation = organisation->name;
        result.weight = organisation->weight;
    }
    if (route->open)
        return result;
    if (organisation == nullptr)
        return keyId ? ReasonCode::KeyWithdrawn : ReasonCode::KeyUnknown;
    if (route->selector.empty() || !route->selector.matches(organisation->labels))
        return ReasonCode::RouteDenied;
    return result;
}

auto mayContinue(const FleetObjects &objects, const OperationAuthorisation &authorisation,
                 const std::optional<std::string> &keyId) -> bool
{
    if (!authorisation.needsKey)
        return true;
    const auto *organisation = organisationOf(objects, keyId);
    return organisation != nullptr && organisation->name == authorisation.organisation;
}

} // namespace auburnrail
