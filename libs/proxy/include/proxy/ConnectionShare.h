#ifndef AUBURNRAIL_PROXY_CONNECTIONSHARE_H
#define AUBURNRAIL_PROXY_CONNECTIONSHARE_H

#include <cstddef>

namespace auburnrail {

/// Who shares the connections to one server.
struct ConnectionSharers
{
    std::size_t connections = 0; ///< That the server accepts from the whole fleet.
    std::size_t entries = 1;
    std::size_t zoneEntries = 1; ///< Entries in the zone of this one, itself included.
    bool isLocal = false;        ///< The server stands in the zone of this entry.
    bool isPrimary = false;
};

/// Connections to the server that this entry may hold, so that all entries together stay within
/// what it accepts; at least one. Reads stay in their zone, while every entry needs the primary:
/// a replica is divided among the entries of its zone, with one connection for each other entry,
/// and a primary evenly, with a little more for its zone, whose reads it takes too.
/// `sharers.zoneEntries` stands for the server's zone, which the entry knows only when it is local;
/// elsewhere the fleet is taken to be spread evenly.
[[nodiscard]] auto connectionShare(const ConnectionSharers &sharers) -> std::size_t;

} // namespace auburnrail

#endif
