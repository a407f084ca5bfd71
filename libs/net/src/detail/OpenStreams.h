#ifndef AUBURNRAIL_NET_DETAIL_OPENSTREAMS_H
#define AUBURNRAIL_NET_DETAIL_OPENSTREAMS_H

#include <core/RankedMutex.h>

#include <absl/base/thread_annotations.h>

#include <functional>
#include <map>

namespace auburnrail::detail {

/// The streams of an IoPool that have an owner. Owners and streams hold each other until the stream
/// ends, so that a pool has to end them when it stops. Safe from any thread.
class OpenStreams
{
public:
    using End = std::function<auto()->void>;

    auto add(const void *stream, End end) -> void;
    auto remove(const void *stream) -> void;

    /// Ends every stream on the calling thread. No other thread may use them any more.
    auto endAll() -> void;

private:
    RankedMutex mutex{LockRank::Connection};
    std::map<const void *, End> ends ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail::detail

#endif
