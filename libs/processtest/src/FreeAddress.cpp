#include <processtest/FreeAddress.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <absl/strings/str_cat.h>

#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace auburnrail {

namespace {

// Below the range from which systems choose the ports of outgoing connections.
constexpr auto FIRST_PORT = std::uint16_t(10000);
constexpr auto LAST_PORT = std::uint16_t(32000);

/// A loopback address that no other process which runs now derives.
auto ownHost() -> std::string
{
    const auto id = static_cast<std::uint32_t>(::getpid());
    return absl::StrCat("127.", 16 + ((id >> 16) & 0x7f), ".", (id >> 8) & 0xff, ".", id & 0xff);
}

auto isFree(const Poco::Net::SocketAddress &address) -> bool
{
    try {
        Poco::Net::ServerSocket().bind(address);
        return true;
    } catch (const Poco::Net::NetException &) {
        return false; // A process listens on this port on all addresses.
    }
}

} // namespace

auto freeAddress() -> std::string
{
    static auto nextPort = FIRST_PORT;
    while (nextPort <= LAST_PORT) {
        const auto address = Poco::Net::SocketAddress(ownHost(), nextPort++);
        if (isFree(address))
            return address.toString();
    }
    throw std::runtime_error("no port is left for this process");
}

} // namespace auburnrail
