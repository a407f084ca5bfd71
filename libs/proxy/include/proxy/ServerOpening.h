#ifndef AUBURNRAIL_PROXY_SERVEROPENING_H
#define AUBURNRAIL_PROXY_SERVEROPENING_H

#include <string>

namespace auburnrail {

/// First message on a connection to a server.
struct ServerOpening
{
    std::string group;
    std::string organisation; ///< The client's organisation; its key is never sent to a server.
    std::string endpoint;     ///< Name of the server that is expected at the address.
};

} // namespace auburnrail

#endif
