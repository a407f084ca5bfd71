#ifndef AUBURNRAIL_WIRE_CONTROLSERVER_H
#define AUBURNRAIL_WIRE_CONTROLSERVER_H

#include <wire/ControlServerHooks.h>

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace auburnrail {

/// Receives the heartbeats of entries and their requests for tokens. Each connection has a thread,
/// on which the hook may wait.
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

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
