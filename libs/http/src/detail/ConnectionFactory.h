#ifndef AUBURNRAIL_HTTP_DETAIL_CONNECTIONFACTORY_H
#define AUBURNRAIL_HTTP_DETAIL_CONNECTIONFACTORY_H

#include "RequestFactory.h"
#include "ServerConnection.h"

#include <Poco/Net/TCPServerConnectionFactory.h>

#include <memory>

namespace auburnrail::detail {

/// Creates a ServerConnection for each accepted socket.
class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(Poco::Net::HTTPServerParams::Ptr serverParams,
                      std::shared_ptr<ServerState> serverState)
        : params(std::move(serverParams))
        , handlers(new RequestFactory(serverState))
        , state(std::move(serverState))
    {
    }

    auto createConnection(const Poco::Net::StreamSocket &socket)
        -> Poco::Net::TCPServerConnection * override
    {
        return new ServerConnection(socket, this->params, this->handlers, this->state);
    }

private:
    Poco::Net::HTTPServerParams::Ptr params;
    Poco::Net::HTTPRequestHandlerFactory::Ptr handlers;
    std::shared_ptr<ServerState> state;
};

} // namespace auburnrail::detail

#endif
