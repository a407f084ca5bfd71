#include <processtest/FreeAddress.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <set>

namespace auburnrail {

auto freeAddress() -> std::string
{
    static auto used = std::set<std::string>();
    while (true) {
        auto socket = Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1:0"));
        auto address = socket.address().toString();
        if (used.insert(address).second)
            return address;
    }
}

} // namespace auburnrail
