#ifndef AUBURNRAIL_RELAY_RELAYSERVER_H
#define AUBURNRAIL_RELAY_RELAYSERVER_H

#include <relay/RelayServerHooks.h>

#include <net/IoPool.h>
#include <net/StreamListener.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace auburnrail {

/// Runs statements of other entries on connections of this one. Never passes a statement on, so
/// that each makes one hop at most. Thread-safe.
class RelayServer
{
public:
    /// `ioPool` must outlive this object. `address` is IP:port.
    RelayServer(IoPool &ioPool, std::string address, RelayServerHooks serverHooks);

    /// `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Refuses new channels. Those that are open go on.
    auto drain() -> void;

    [[nodiscard]] auto openChannels() const -> std::size_t;

    /// Channels with a request in progress. Others may be cut at shutdown: closing their
    /// connections rolls back what is open.
    [[nodiscard]] auto busyChannels() const -> std::size_t;

    [[nodiscard]] auto port() const -> std::uint16_t;

    /// What all links of the server share.
    struct Shared
    {
        RelayServerHooks hooks;
        std::atomic<bool> draining = false;
        std::atomic<std::size_t> channels = 0;
        std::atomic<std::size_t> busyChannels = 0;
    };

private:
    const std::shared_ptr<Shared> shared;
    StreamListener listener;
};

} // namespace auburnrail

#endif
