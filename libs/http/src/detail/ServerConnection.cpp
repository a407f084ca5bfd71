#include "ServerConnection.h"

#include <Poco/Exception.h>

namespace auburnrail::detail {

ServerConnection::ServerConnection(const Poco::Net::StreamSocket &socket,
                                   const Poco::Net::HTTPServerParams::Ptr &params,
                                   const Poco::Net::HTTPRequestHandlerFactory::Ptr &factory,
                                   std::shared_ptr<ServerState> serverState)
    : Poco::Net::HTTPServerConnection(socket, params, factory)
    , state(std::move(serverState))
{
}

auto ServerConnection::run() -> void
{
    auto peer = std::string();
    auto number = std::optional<std::uint64_t>();
    try {
        this->socket().setNoDelay(true);
        peer = this->socket().peerAddress().toString();
        number = this->state->open(this->socket());
    } catch (const Poco::Exception &) {
        return; // The peer left before the connection was served.
    }
    if (!number)
        return;
    try {
        Poco::Net::HTTPServerConnection::run();
    } catch (const Poco::Exception &) {
        // A broken connection ends here; its requests have their own error handling.
    }
    this->state->close(*number, peer);
}

} // namespace auburnrail::detail
