#ifndef AUBURNRAIL_WIRE_DETAIL_MEMBERSENDER_H
#define AUBURNRAIL_WIRE_DETAIL_MEMBERSENDER_H

#include <wire/ConsensusTransportHooks.h>
#include <wire/ConsensusTransportSettings.h>

#include <core/RankedCondition.h>
#include <core/RankedMutex.h>

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace auburnrail::wire {
class ConsensusClient;
}

namespace auburnrail::detail {

/// Queue, connection and thread that serve one other member.
class MemberSender
{
public:
    MemberSender(std::string peerHost, std::uint16_t peerPort,
                 const ConsensusTransportSettings &limits,
                 const ConsensusTransportHooks &callbacks);
    MemberSender(const MemberSender &) = delete;
    auto operator=(const MemberSender &) -> MemberSender & = delete;
    ~MemberSender();

    /// Starts the thread. `kResourceExhausted` when the system has no room for it.
    [[nodiscard]] auto start() -> absl::Status;

    /// Adds a message; drops the oldest one when the queue is full.
    auto enqueue(Message message) -> void;

    /// Ends the thread, at the latest after one connect or send limit.
    auto stop() -> void;

private:
    struct QueuedMessage
    {
        Message message;
        TimePoint dueAt;
    };

    auto run() -> void;
    auto nextMessage() -> std::optional<Message>;
    auto transmit(const Message &message) -> void;
    auto connect() -> void;
    auto waitAfterFailure() -> void;

    const std::string host;
    const std::uint16_t port;
    const ConsensusTransportSettings settings;
    const ConsensusTransportHooks hooks;

    // Used by the sender's thread only.
    std::unique_ptr<wire::ConsensusClient> client;
    Duration backoff;

    RankedMutex mutex{LockRank::Connection};
    RankedCondition wakeUp;
    std::deque<QueuedMessage> queue ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

} // namespace auburnrail::detail

#endif
