#ifndef AUBURNRAIL_PROXY_PROXYSERVERSETTINGS_H
#define AUBURNRAIL_PROXY_PROXYSERVERSETTINGS_H

#include <core/Time.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// Settings of a ProxyServer.
struct ProxyServerSettings
{
    std::string zone;    ///< Availability zone of this entry.
    std::string address; ///< IP:port; with port 0 the system chooses a port.
    std::size_t threads = 2;
    std::size_t maxSessions = 3000; ///< Further connections are closed at once.
    std::string clusterSecret;      ///< Secret with which clients' keys are hashed.
};

} // namespace auburnrail

#endif
