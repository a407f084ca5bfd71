#ifndef AUBURNRAIL_RELAY_DETAIL_RELAYLINK_H
#define AUBURNRAIL_RELAY_DETAIL_RELAYLINK_H

#include <relay/RelayLinksHooks.h>
#include <relay/RelayMessages.h>

#include <net/IoPool.h>
#include <net/StreamConnection.h>
#include <peers/RelayPeer.h>
#include <proxy/PooledConnection.h>

#include <core/RankedMutex.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail::detail {

/// The link of an origin to one peer. Requests wait in memory until the link is authenticated. A
/// link that has ended is never used again. Thread-safe.
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
    using StatusDone =
        std::function<auto(std::optional<RelayStatusResponse> response, TimePoint sentAt)->void>;

    RelayLink(RelayPeer linkedPeer, std::shared_ptr<const RelayLinksHooks> linkHooks);

    auto open(IoPool &ioPool) -> void;

    [[nodiscard]] auto nextNumber() -> std::uint64_t;

    [[nodiscard]] auto now() const -> TimePoint;

    /// Sends a request and calls `done` once with its outcome.
    auto exchange(const RelayRequest &request, const std::string &endpoint,
                  PooledConnection::Done done) -> void;

    auto requestStatus(const std::string &endpoint, Duration timeLimit, StatusDone done) -> void;

    /// Sends a message that has no response.
    auto send(const RelayMessage &message) -> void;

    [[nodiscard]] auto hasEnded() -> bool;

    auto advance(TimePoint now) -> void;

    /// Ends the link and everything that waits for the peer.
    auto end(const std::string &reason) -> void;

private:
    enum class Phase : std::uint8_t {
        Connecting, ///< Nothing but the hello has been sent.
        Flushing,   ///< The messages that waited are being sent; later ones wait behind them.
        Ready,
        Ended,
    };

    struct Exchange
    {
        std::string endpoint;
        TimePoint sentAt;
        TimerId timer = 0;
        PooledConnection::Done done;
    };

    struct StatusCall
    {
        TimePoint sentAt;
        TimerId timer = 0;
        StatusDone done;
    };

    auto connected(const StreamConnection::Pointer &newStream) -> void;
    auto received(std::string_view bytes) -> std::size_t;
    auto take(RelayMessage message) -> void;
    auto answer(const RelayChallenge &challenge) -> void;
    auto complete(RelayResponse response) -> void;
    auto complete(const RelayStatusResponse &response) -> void;
    auto expire(std::uint64_t channel, TimePoint sentAt) -> void;
    auto expireStatus(std::uint64_t number) -> void;

    /// A message on its way to the peer.
    struct Outgoing
    {
        StreamConnection::Pointer stream; ///< Null: the message waits until the link is ready.
        std::string bytes;
    };

    /// Encodes the message, and keeps it until the link is ready. Nothing when the link has ended
    /// or holds too much already.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto enqueue(const RelayMessage &message) -> std::optional<Outgoing>;

    /// Hands the message to the stream. Not to be called with the mutex held: a stream whose peer
    /// doesn't read ends during the call, and its hook takes the mutex.
    static auto transmit(Outgoing outgoing) -> void;

    const RelayPeer peer;
    const std::shared_ptr<const RelayLinksHooks> hooks;
    RankedMutex mutex{LockRank::RelayLink};
    Phase phase ABSL_GUARDED_BY(mutex) = Phase::Connecting;
    StreamConnection::Pointer stream ABSL_GUARDED_BY(mutex);
    std::string unsent ABSL_GUARDED_BY(mutex); ///< Messages that wait until the link is ready.
    std::map<std::uint64_t, Exchange> exchanges ABSL_GUARDED_BY(mutex); ///< By channel.
    std::map<std::uint64_t, StatusCall> statusCalls ABSL_GUARDED_BY(mutex);
    std::uint64_t lastNumber ABSL_GUARDED_BY(mutex) = 0;
    /// Last sign of life, or when a response became due after the peer owed none.
    TimePoint aliveAt ABSL_GUARDED_BY(mutex);
    TimePoint usedAt ABSL_GUARDED_BY(mutex);
    bool pinged ABSL_GUARDED_BY(mutex) = false; ///< Since `aliveAt`.
};

} // namespace auburnrail::detail

#endif
