#ifndef AUBURNRAIL_PROXY_PROXYSERVERSETTINGS_H
#define AUBURNRAIL_PROXY_PROXYSERVERSETTINGS_H

#include <core/Time.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// Where and how a ProxyServer serves sessions.
struct ProxyServerSettings
{
    std::string zone;    ///< Availability zone of this entry.
    std::string address; ///< IP:port; port 0 lets the system choose one.
    std::size_t threads = 2;
    std::size_t maxSessions = 3000; ///< Further connections are closed at once.
    std::string clusterSecret;      ///< Under which callers' keys are hashed.
};

} // namespace auburnrail

#endif
