#ifndef AUBURNRAIL_NET_TCPADDRESS_H
#define AUBURNRAIL_NET_TCPADDRESS_H

#include <string>

namespace auburnrail {

/// Whether a connection can be opened to `address`: IP:port, or `[IP]:port` for version 6, with a
/// port from 1 to 65535. Names are not resolved.
[[nodiscard]] auto isConnectableAddress(const std::string &address) -> bool;

} // namespace auburnrail

#endif
