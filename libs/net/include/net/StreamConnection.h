#ifndef AUBURNRAIL_NET_STREAMCONNECTION_H
#define AUBURNRAIL_NET_STREAMCONNECTION_H

#include <net/IoPool.h>
#include <net/StreamHooks.h>
#include <net/StreamLimits.h>

#include <core/Executor.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// One TCP connection without a thread of its own. Its hooks and everything posted to executor()
/// run one at a time, so that the owner's state of this connection needs no lock.
/// Thread rule: all calls from any thread.
class StreamConnection
{
public:
    using Pointer = std::shared_ptr<StreamConnection>;
    using Connected = std::function<auto(absl::StatusOr<Pointer>)->void>;

    virtual ~StreamConnection() = default;

    /// Begins to read. To be called once.
    virtual auto start(StreamHooks hooks) -> void = 0;

    /// Sends the bytes after those sent before. Bytes for a closed connection are dropped.
    virtual auto send(std::string bytes) -> void = 0;

    /// Ends the connection at once.
    virtual auto close() -> void = 0;

    /// Ends the connection once everything sent before has been handed to the system.
    virtual auto closeAfterSending() -> void = 0;

    /// Runs tasks between the hooks of this connection.
    [[nodiscard]] virtual auto executor() -> const Executor & = 0;
};

/// Opens a connection to `address` (IP:port). `kInvalidArgument` when the address can't be parsed,
/// `kDeadlineExceeded` when nothing answered within `timeLimit`, `kUnavailable` when it was
/// refused.
auto connectStream(IoPool &pool, const std::string &address, Duration timeLimit,
                   const StreamLimits &limits, StreamConnection::Connected done) -> void;

} // namespace auburnrail

#endif
