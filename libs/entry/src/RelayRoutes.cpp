#include <entry/RelayRoutes.h>

#include <proxy/ConnectionShare.h>

#include <core/RankedLock.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

RelayRoutes::RelayRoutes(std::string ownInstance, RelayPeers &relayPeers)
    : instance(std::move(ownInstance))
    , peers(relayPeers)
{
}

auto RelayRoutes::update(const FleetObjects &objects, std::size_t entries) -> void
{
    auto limits = std::map<std::string, std::size_t>();
    objects.table<Service>().forEach([&](const Service &service) {
        auto &limit = limits[service.group];
        limit = std::max<std::size_t>(limit, service.connectionLimit);
    });
    auto relayed = std::map<std::string, std::string, std::less<>>();
    objects.table<Endpoint>().forEach([&](const Endpoint &endpoint) {
        const auto limit = limits.find(endpoint.group);
        if (limit != limits.end() && isRelayed({.connections = limit->second, .entries = entries}))
            relayed.emplace(endpoint.name, endpoint.zone);
    });
    const RankedLock lock(this->mutex);
    std::erase_if(this->askDirectlyUntil,
                  [&relayed](const auto &row) { return !relayed.contains(row.first); });
    this->zones.swap(relayed);
}

auto RelayRoutes::zoneOf(std::string_view endpoint) -> std::string
{
    const RankedLock lock(this->mutex);
    const auto found = this->zones.find(endpoint);
    return found == this->zones.end() ? std::string() : found->second;
}

auto RelayRoutes::unlessOwn(std::optional<RelayPeer> peer) const -> std::optional<RelayPeer>
{
    return peer && peer->instance == this->instance ? std::nullopt : peer;
}

auto RelayRoutes::holderOf(std::string_view endpoint, std::string_view organisation, TimePoint now)
    -> std::optional<RelayPeer>
{
    const auto zone = this->zoneOf(endpoint);
    return zone.empty() ? std::nullopt
                        : this->unlessOwn(this->peers.holderOf(zone, endpoint, organisation, now));
}

auto RelayRoutes::statusUnknown(const std::string &endpoint, TimePoint now) -> void
{
    const RankedLock lock(this->mutex);
    this->askDirectlyUntil.insert_or_assign(endpoint, now + ASK_DIRECTLY_FOR_MS);
}

auto RelayRoutes::asksDirectly(std::string_view endpoint, TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    const auto found = this->askDirectlyUntil.find(endpoint);
    return found != this->askDirectlyUntil.end() && now < found->second;
}

auto RelayRoutes::statusHolderOf(std::string_view endpoint, TimePoint now)
    -> std::optional<RelayPeer>
{
    const auto zone = this->asksDirectly(endpoint, now) ? std::string() : this->zoneOf(endpoint);
    return zone.empty() ? std::nullopt
                        : this->unlessOwn(this->peers.statusHolderOf(zone, endpoint, now));
}

} // namespace auburnrail
