#include <relay/RelayLinks.h>

#include "detail/RelayChannel.h"

#include <core/RankedLock.h>

#include <utility>
#include <vector>

namespace auburnrail {

RelayLinks::RelayLinks(IoPool &sharedIoPool, RelayLinksHooks linksHooks)
    : ioPool(sharedIoPool)
    , hooks(std::make_shared<const RelayLinksHooks>(std::move(linksHooks)))
{
}

auto RelayLinks::linkTo(const RelayPeer &peer) -> std::shared_ptr<detail::RelayLink>
{
    auto link = std::shared_ptr<detail::RelayLink>();
    {
        const RankedLock lock(this->mutex);
        auto &known = this->links[peer.address];
        if (known != nullptr && !known->hasEnded())
            return known;
        link = std::make_shared<detail::RelayLink>(peer, this->hooks);
        known = link;
    }
    link->open(this->ioPool);
    return link;
}

auto RelayLinks::openChannel(const RelayPeer &peer, const RelayOpening &opening)
    -> PooledConnectionPointer
{
    const auto link = this->linkTo(peer);
    const auto channel = std::make_shared<detail::RelayChannel>(link, opening);
    auto connection = std::make_shared<PooledConnection>();
    connection->handle = ConnectionHandle{opening.endpoint, channel->number()};
    connection->isPrimary = opening.isPrimary;
    connection->term = opening.term;
    connection->exchange = [channel](const ServerRequest &request, Duration timeLimit,
                                     PooledConnection::Done done) {
        channel->exchange(request, timeLimit, std::move(done));
    };
    connection->close = [channel] {
        channel->end(false);
    };
    connection->giveBack = [channel](bool reusable) {
        channel->end(reusable);
    };
    return connection;
}

auto RelayLinks::requestStatus(const RelayPeer &peer, const std::string &endpoint,
                               Duration timeLimit, StatusDone done) -> void
{
    this->linkTo(peer)->requestStatus(endpoint, timeLimit, std::move(done));
}

auto RelayLinks::advance(TimePoint now) -> void
{
    auto open = std::vector<std::shared_ptr<detail::RelayLink>>();
    {
        const RankedLock lock(this->mutex);
        std::erase_if(this->links, [](const auto &row) { return row.second->hasEnded(); });
        for (const auto &[address, link] : this->links)
            open.push_back(link);
    }
    for (const auto &link : open)
        link->advance(now);
}

} // namespace auburnrail
