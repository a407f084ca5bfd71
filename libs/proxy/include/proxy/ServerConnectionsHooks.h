#ifndef AUBURNRAIL_PROXY_SERVERCONNECTIONSHOOKS_H
#define AUBURNRAIL_PROXY_SERVERCONNECTIONSHOOKS_H

#include <proxy/ServerCodec.h>
#include <proxy/ServerConnectionEvent.h>

#include <request/GroupView.h>

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

    /// Counts an event; may be empty.
    std::function<auto(ServerConnectionEvent event)->void> count;
};

} // namespace auburnrail

#endif
