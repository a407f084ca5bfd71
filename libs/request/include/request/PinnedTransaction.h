#ifndef AUBURNRAIL_REQUEST_PINNEDTRANSACTION_H
#define AUBURNRAIL_REQUEST_PINNEDTRANSACTION_H

#include <request/ConnectionHandle.h>

#include <core/Time.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// An open transaction and the connection it is pinned to.
struct PinnedTransaction
{
    std::string id; ///< `instance.number-random`; identifies the entry that holds it.
    std::string organisation;
    std::string keyId; ///< Key that began it; it ends when the key is withdrawn.
    std::string service;
    std::string group;
    std::uint64_t term = 0;
    ConnectionHandle connection;
    std::uint64_t callerConnection = 0; ///< The transaction ends when it closes; 0: none.
    TimePoint begunAt;
    TimePoint usedAt;
};

} // namespace auburnrail

#endif
