#ifndef AUBURNRAIL_NET_STREAMLISTENER_H
#define AUBURNRAIL_NET_STREAMLISTENER_H

#include <net/StreamConnection.h>

#include <core/RefusalHook.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// Accepts TCP connections on one address. Safe from any thread.
class StreamListener
{
public:
    /// Gets each accepted connection, which is not started yet.
    using Accepted = std::function<auto(StreamConnection::Pointer)->void>;

    /// `pool` must outlive this object. `refused` is told of a connection that could not be
    /// accepted, mostly for lack of descriptors or memory; the listener tries again soon. It may be
    /// empty.
    StreamListener(IoPool &pool, std::string address, StreamLimits limits, Accepted accepted,
                   RefusalHook refused = {});
    StreamListener(const StreamListener &) = delete;
    auto operator=(const StreamListener &) -> StreamListener & = delete;

    /// Calls stop().
    ~StreamListener();

    /// Binds and begins to accept. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Accepts no more connections.
    auto stop() -> void;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct Impl;

    std::shared_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
