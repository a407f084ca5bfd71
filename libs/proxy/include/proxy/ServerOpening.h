#ifndef AUBURNRAIL_PROXY_SERVEROPENING_H
#define AUBURNRAIL_PROXY_SERVEROPENING_H

#include <string>

namespace auburnrail {

/// First message on a connection to a server.
struct ServerOpening
{
    std::string group;
    std::string organisation; ///< On whose behalf; the key itself never leaves the entry.
    std::string endpoint;     ///< The server that is expected at the address.
};

} // namespace auburnrail

#endif
