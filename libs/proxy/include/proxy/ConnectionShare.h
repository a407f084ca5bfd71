#ifndef AUBURNRAIL_PROXY_CONNECTIONSHARE_H
#define AUBURNRAIL_PROXY_CONNECTIONSHARE_H

#include <proxy/IdlePolicy.h>

#include <cstddef>

namespace auburnrail {

/// What determines an entry's share of the connections to one server.
struct ConnectionShareInputs
{
    std::size_t connections = 0; ///< Connections that the server accepts from all entries.
    std::size_t entries = 1;
    std::size_t zoneEntries = 1; ///< Entries in the zone of this one, itself included.
    bool isLocal = false;        ///< The server is in the zone of this entry.
    bool isPrimary = false;
};

/// Number of connections to the server that this entry may hold, at least one. The shares are
/// chosen so that all entries together stay within the server's limit. Reads stay in their zone,
/// while every entry needs the primary. So most connections to a replica go to the entries of its
/// zone, with one for each other entry; connections to a primary are divided evenly, with slightly
/// more for the entries of its zone, whose reads it serves too. `inputs.zoneEntries` is the number
/// of entries in the server's zone. An entry knows that number only for its own zone; for a server
/// elsewhere, entries are assumed to be spread evenly over the zones.
[[nodiscard]] auto connectionShare(const ConnectionShareInputs &inputs) -> std::size_t;

/// Whether the entry may keep connections to the server that it does not use: only if the server
/// accepts at least one from each entry.
[[nodiscard]] auto idlePolicyFor(const ConnectionShareInputs &inputs) -> IdlePolicy;

/// Whether the server accepts less than one connection for each entry outside its zone, so that
/// statements are better passed to entries of its zone that hold connections to it. Depends only on
/// the limit and the numbers of entries, so that all entries decide alike.
[[nodiscard]] auto isRelayed(const ConnectionShareInputs &inputs) -> bool;

/// Number of connections to the server that each of `holders` entries may hold when they share them
/// among all organisations. Leaves some for entries that reach no holder.
[[nodiscard]] auto holderShare(std::size_t connections, std::size_t holders) -> std::size_t;

} // namespace auburnrail

#endif
