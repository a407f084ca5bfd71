#include "TcpAddress.h"

#include <net/TcpAddress.h>

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

namespace auburnrail::detail {

auto parseTcpAddress(const std::string &address) -> absl::StatusOr<boost::asio::ip::tcp::endpoint>
{
    const auto colon = address.rfind(':');
    auto port = std::uint32_t(0);
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port)
        || port > 65535)
        return absl::InvalidArgumentError("'" + address + "' is not IP:port");
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    auto error = boost::system::error_code();
    const auto ip = boost::asio::ip::make_address(host, error);
    if (error)
        return absl::InvalidArgumentError("'" + address + "' is not IP:port");
    return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

} // namespace auburnrail::detail

namespace auburnrail {

auto isConnectableAddress(const std::string &address) -> bool
{
    const auto endpoint = detail::parseTcpAddress(address);
    return endpoint.ok() && endpoint->port() != 0;
}

} // namespace auburnrail
