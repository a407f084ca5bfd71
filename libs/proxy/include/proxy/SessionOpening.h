#ifndef AUBURNRAIL_PROXY_SESSIONOPENING_H
#define AUBURNRAIL_PROXY_SESSIONOPENING_H

#include <string>

namespace auburnrail {

/// A client's request to open a session.
struct SessionOpening
{
    std::string database;
    std::string key; ///< Identifies the client. Never logged and never sent to an endpoint.

    auto operator==(const SessionOpening &) const -> bool = default;
};

} // namespace auburnrail

#endif
