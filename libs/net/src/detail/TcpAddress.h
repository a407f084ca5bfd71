#ifndef AUBURNRAIL_NET_DETAIL_TCPADDRESS_H
#define AUBURNRAIL_NET_DETAIL_TCPADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail::detail {

/// Parses IP:port; `[IP]:port` for version 6. `kInvalidArgument` when it is neither.
[[nodiscard]] auto parseTcpAddress(const std::string &address)
    -> absl::StatusOr<boost::asio::ip::tcp::endpoint>;

} // namespace auburnrail::detail

#endif
