#include "ServerState.h"

#include <core/RankedLock.h>

#include <Poco/Exception.h>

namespace auburnrail::detail {

namespace {

/// One worker of this many is kept for connections that send one request.
constexpr auto WORKERS_PER_FREE_ONE = std::size_t(4);

} // namespace

ServerState::ServerState(HttpServerHooks serverHooks, std::size_t maxBody,
                         std::size_t workerThreads)
    : hooks(std::move(serverHooks))
    , maxBodyBytes(maxBody)
    , maxKeptConnections(workerThreads
                         - (workerThreads + WORKERS_PER_FREE_ONE - 1) / WORKERS_PER_FREE_ONE)
{
}

auto ServerState::isCrowded() -> bool
{
    const RankedLock lock(this->mutex);
    return this->connections.size() > this->maxKeptConnections;
}

auto ServerState::open(const Poco::Net::StreamSocket &socket) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t(0);
    {
        const RankedLock lock(this->mutex);
        number = ++this->lastNumber;
        this->connections.insert_or_assign(socket.peerAddress().toString(),
                                           OpenConnection{number, socket});
    }
    if (this->hooks.opened && !this->hooks.opened(number)) {
        const RankedLock lock(this->mutex);
        this->connections.erase(socket.peerAddress().toString());
        return std::nullopt;
    }
    return number;
}

auto ServerState::close(std::uint64_t connection, const std::string &peer) -> void
{
    {
        const RankedLock lock(this->mutex);
        const auto found = this->connections.find(peer);
        // The peer's port may belong to a newer connection already.
        if (found != this->connections.end() && found->second.number == connection)
            this->connections.erase(found);
    }
    if (this->hooks.closed)
        this->hooks.closed(connection);
}

auto ServerState::connectionOf(const std::string &peer) -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    const auto found = this->connections.find(peer);
    return found == this->connections.end() ? 0 : found->second.number;
}

auto ServerState::closeIdleConnections() -> void
{
    const RankedLock lock(this->mutex);
    for (auto &[peer, connection] : this->connections) {
        try {
            // Ends the wait for a next request; an answer under way can still be written.
            connection.socket.shutdownReceive();
        } catch (const Poco::Exception &) {
            // The peer closed it first.
        }
    }
}

} // namespace auburnrail::detail
