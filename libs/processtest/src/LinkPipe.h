#ifndef AUBURNRAIL_PROCESSTEST_LINKPIPE_H
#define AUBURNRAIL_PROCESSTEST_LINKPIPE_H

#include "LinkState.h"

#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <string>
#include <thread>

namespace auburnrail::detail {

/// One direction of a forwarded connection: a thread reads chunks, another writes each one after
/// the link's delay, so that the delay adds latency and does not limit throughput.
class LinkPipe
{
public:
    LinkPipe(const Poco::Net::StreamSocket &from, const Poco::Net::StreamSocket &to,
             LinkState &linkState);
    LinkPipe(const LinkPipe &) = delete;
    auto operator=(const LinkPipe &) -> LinkPipe & = delete;

    /// Joins both threads; the sockets must be shut down and the link closed before.
    ~LinkPipe();

    /// Ends both sockets' waits.
    auto shutdown() -> void;

private:
    struct Chunk
    {
        TimePoint readAt;
        std::string bytes; ///< Empty: the sender closed the connection.
    };

    auto readLoop() -> void;
    auto writeLoop() -> void;
    [[nodiscard]] auto takeChunk() -> Chunk;

    Poco::Net::StreamSocket source;
    Poco::Net::StreamSocket target;
    LinkState &link;
    RankedMutex mutex{LockRank::WorkerQueue};
    RankedCondition added;
    std::deque<Chunk> chunks ABSL_GUARDED_BY(mutex);
    std::thread reader;
    std::thread writer;
};

} // namespace auburnrail::detail

#endif
