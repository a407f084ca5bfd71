#ifndef AUBURNRAIL_PROCESSTEST_TCPLINK_H
#define AUBURNRAIL_PROCESSTEST_TCPLINK_H

#include <core/Time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace auburnrail {

/// A network link between two processes of a test: listens on a loopback port and forwards each
/// connection to the target, with a one-way delay. A cut link accepts and keeps connections but
/// carries nothing, as in a silent network partition.
/// Thread rule: cut(), heal() and setDelay() are safe from any thread.
class TcpLink
{
public:
    /// Starts to forward to `target` (IP:port).
    TcpLink(const std::string &target, Duration oneWayDelay);
    TcpLink(const TcpLink &) = delete;
    auto operator=(const TcpLink &) -> TcpLink & = delete;

    /// Closes every connection.
    ~TcpLink();

    /// 127.0.0.1:port that the sending side connects to.
    [[nodiscard]] auto address() const -> std::string;

    /// Carries nothing from now on; data under way is held back until heal().
    auto cut() -> void;
    auto heal() -> void;
    auto setDelay(Duration oneWayDelay) -> void;

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
