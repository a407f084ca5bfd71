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
    std::string id; ///< `instance.number`: names the entry that holds it.
    std::string organisation;
    std::string keyId; ///< Of the key that began it; it ends when that key is withdrawn.
    std::string service;
    std::string group;
    std::uint64_t term = 0;
    ConnectionHandle connection;
    std::uint64_t callerConnection = 0; ///< Closed with it; 0: not bound to one.
    TimePoint begunAt;
    TimePoint usedAt;
};

} // namespace auburnrail

#endif
