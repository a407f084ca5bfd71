#ifndef AUBURNRAIL_RELAY_DETAIL_RELAYCHANNEL_H
#define AUBURNRAIL_RELAY_DETAIL_RELAYCHANNEL_H

#include <relay/detail/RelayLink.h>

#include <proxy/PreparedStatement.h>

#include <core/RankedMutex.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace auburnrail::detail {

/// One statement or transaction that a peer runs for this entry. What only changes the session
/// (values and prepared statements) is answered here and travels with the next request, so that it
/// costs no round trip. Thread-safe.
class RelayChannel
{
public:
    RelayChannel(std::shared_ptr<RelayLink> channelLink, RelayOpening channelOpening);

    [[nodiscard]] auto number() const -> std::uint64_t;

    auto exchange(const ServerRequest &request, Duration timeLimit, PooledConnection::Done done)
        -> void;

    /// Ends the channel. The peer closes its connection if it is not `reusable`.
    auto end(bool reusable) -> void;

private:
    /// Applies a request that only changes the session. False for any other one.
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto applyToSession(const ServerRequest &request) -> bool;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto compose(const ServerRequest &request, Duration timeLimit) -> RelayRequest;

    const std::shared_ptr<RelayLink> link;
    const std::uint64_t channelNumber;
    const RelayOpening opening;
    const TimePoint openedAt;
    RankedMutex mutex{LockRank::RelayChannel};
    SessionValues values ABSL_GUARDED_BY(mutex);
    std::map<std::string, PreparedStatement> prepared ABSL_GUARDED_BY(mutex); ///< By name.
    bool valuesChanged ABSL_GUARDED_BY(mutex) = false;
    bool opened ABSL_GUARDED_BY(mutex) = false; ///< The first request was sent.
    bool ended ABSL_GUARDED_BY(mutex) = false;
};

} // namespace auburnrail::detail

#endif
