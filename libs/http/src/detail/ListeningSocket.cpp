#include "ListeningSocket.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Thread.h>

namespace auburnrail::detail {

namespace {

/// After an error, which is a lack of descriptors or memory in most cases, so that connections
/// which end in between make room.
constexpr auto RETRY_PAUSE_MS = 50;

class ListeningSocketImpl : public Poco::Net::ServerSocketImpl
{
public:
    explicit ListeningSocketImpl(RefusalHook refusedHook)
        : refused(std::move(refusedHook))
    {
    }

    auto acceptConnection(Poco::Net::SocketAddress &client) -> Poco::Net::SocketImpl * override
    {
        return this->reporting([&] { return ServerSocketImpl::acceptConnection(client); });
    }

    auto poll(const Poco::Timespan &timeout, int mode) -> bool override
    {
        return this->reporting([&] { return ServerSocketImpl::poll(timeout, mode); });
    }

private:
    template <typename Operation>
    auto reporting(const Operation &operation) -> decltype(operation())
    {
        try {
            return operation();
        } catch (const Poco::Exception &error) {
            this->refused(absl::ResourceExhaustedError(error.displayText()));
            Poco::Thread::sleep(RETRY_PAUSE_MS);
            throw;
        }
    }

    const RefusalHook refused;
};

} // namespace

ListeningSocket::ListeningSocket(RefusalHook refused)
    : ServerSocket(new ListeningSocketImpl(std::move(refused)), true)
{
}

} // namespace auburnrail::detail
