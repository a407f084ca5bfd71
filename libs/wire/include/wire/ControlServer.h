#ifndef AUBURNRAIL_WIRE_CONTROLSERVER_H
#define AUBURNRAIL_WIRE_CONTROLSERVER_H

#include <wire/ControlServerHooks.h>

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>

namespace auburnrail {

/// Receives the heartbeats of entries and their requests for tokens. Its threads don't grow with
/// the connections, nor with the answers that are held back.
class ControlServer
{
public:
    /// `address` is IP:port to listen on.
    ControlServer(std::string address, ControlServerHooks serverHooks);
    ControlServer(const ControlServer &) = delete;
    auto operator=(const ControlServer &) -> ControlServer & = delete;

    /// Calls stop().
    ~ControlServer();

    /// Listens and starts to serve. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Ends every connection and joins the threads. Handlers under way must return soon.
    auto stop() -> void;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
