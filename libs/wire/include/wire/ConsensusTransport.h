#ifndef AUBURNRAIL_WIRE_CONSENSUSTRANSPORT_H
#define AUBURNRAIL_WIRE_CONSENSUSTRANSPORT_H

#include <wire/ConsensusTransportHooks.h>
#include <wire/ConsensusTransportSettings.h>

#include <consensus/Message.h>

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>

namespace auburnrail {

/// Carries consensus messages between control members over Thrift (framed, compact protocol): a
/// server, and for each other member one connection and one bounded queue with a thread of its own.
/// Messages may be lost; the consensus protocol sends them again.
/// Thread rule: all calls from any thread, except that stop() must not be called by a hook.
class ConsensusTransport
{
public:
    ConsensusTransport(ConsensusTransportSettings settings, ConsensusTransportHooks hooks);
    ConsensusTransport(const ConsensusTransport &) = delete;
    auto operator=(const ConsensusTransport &) -> ConsensusTransport & = delete;

    /// Calls stop().
    ~ConsensusTransport();

    /// Binds and starts the server. `kUnavailable` when the address can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Makes a member reachable at `address` (IP:port); replaces an earlier address.
    /// `kInvalidArgument` when the address can't be parsed, `kResourceExhausted` when the system
    /// has no room for the member's thread.
    [[nodiscard]] auto addMember(const MemberName &name, const std::string &address)
        -> absl::Status;

    [[nodiscard]] auto knows(const MemberName &name) -> bool;

    /// Queues the message for `message.to.name`; drops it when that member is not known.
    auto send(Message message) -> void;

    /// Closes all connections, drops queued messages and joins all threads.
    auto stop() -> void;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
