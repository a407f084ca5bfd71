#ifndef AUBURNRAIL_ENDPOINT_GROUPLOGENTRY_H
#define AUBURNRAIL_ENDPOINT_GROUPLOGENTRY_H

#include <core/Position.h>

#include <string>
#include <vector>

namespace auburnrail {

/// One entry of a group's replication log: the statements of one write or transaction, applied
/// together. An entry without statements marks the start of a term.
struct GroupLogEntry
{
    Position position;
    std::vector<std::string> statements;
    std::string organisation; ///< Identifies the idempotency marker, together with idempotencyKey.
    std::string idempotencyKey;
    std::string fingerprint; ///< Hash of the request that wrote the entry.
    std::string result;      ///< Result of the last statement, returned to repeated requests.
};

} // namespace auburnrail

#endif
