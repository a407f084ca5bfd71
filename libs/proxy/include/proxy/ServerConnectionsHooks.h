#ifndef AUBURNRAIL_PROXY_SERVERCONNECTIONSHOOKS_H
#define AUBURNRAIL_PROXY_SERVERCONNECTIONSHOOKS_H

#include <proxy/Placement.h>
#include <proxy/PooledConnection.h>
#include <proxy/ServerCodec.h>
#include <proxy/ServerConnectionEvent.h>
#include <proxy/StatementRequest.h>

#include <request/GroupView.h>

#include <routing/EndpointView.h>

#include <core/Executor.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Functions that the entry provides to ServerConnections.
struct ServerConnectionsHooks
{
    ServerCodec codec;
    Executor executor;

    /// IP:port of a server; std::nullopt when the fleet state doesn't contain it.
    std::function<auto(const std::string &endpoint)->std::optional<std::string>> addressOf;

    /// Group of a server; empty when the fleet state doesn't contain it.
    std::function<auto(const std::string &endpoint)->std::string> groupOf;

    std::function<auto(const std::string &group)->GroupView> groupView;

    /// Called with each position that the primary of the group's `term` names in its response to a
    /// request sent at `sentAt` or later. May be empty.
    std::function<auto(const std::string &group, std::uint64_t term, Position position,
                       TimePoint sentAt)
                      ->void>
        primaryNamed;

    /// A connection that another entry holds, for a statement that is passed to it; null when the
    /// statement is to use a connection of this entry. May be empty: nothing is passed on.
    std::function<
        auto(const Placement &placement, const StatementRequest &request)->PooledConnectionPointer>
        relay;

    /// Asks another entry for the status of a server. False when this entry has to ask the server
    /// itself. May be empty.
    std::function<auto(const EndpointView &view)->bool> relayProbe;

    /// Counts an event; may be empty.
    std::function<auto(ServerConnectionEvent event)->void> count;
};

} // namespace auburnrail

#endif
