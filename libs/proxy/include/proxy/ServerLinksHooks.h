#ifndef AUBURNRAIL_PROXY_SERVERLINKSHOOKS_H
#define AUBURNRAIL_PROXY_SERVERLINKSHOOKS_H

#include <proxy/ServerCodec.h>

#include <request/GroupView.h>

#include <core/Executor.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// What ServerLinks needs from its entry.
struct ServerLinksHooks
{
    ServerCodec codec;
    Executor executor;

    /// IP:port of a server; nothing when the fleet state doesn't know it.
    std::function<auto(const std::string &endpoint)->std::optional<std::string>> addressOf;

    /// Group of a server; empty when the fleet state doesn't know it.
    std::function<auto(const std::string &endpoint)->std::string> groupOf;

    std::function<auto(const std::string &group)->GroupView> groupView;
};

} // namespace auburnrail

#endif
