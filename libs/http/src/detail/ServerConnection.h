#ifndef AUBURNRAIL_HTTP_DETAIL_SERVERCONNECTION_H
#define AUBURNRAIL_HTTP_DETAIL_SERVERCONNECTION_H

#include "ServerState.h"

#include <Poco/Net/HTTPServerConnection.h>

#include <memory>

namespace auburnrail::detail {

/// POCO's HTTP connection with the `opened` and `closed` hooks around its life.
class ServerConnection : public Poco::Net::HTTPServerConnection
{
public:
    ServerConnection(const Poco::Net::StreamSocket &socket,
                     const Poco::Net::HTTPServerParams::Ptr &params,
                     const Poco::Net::HTTPRequestHandlerFactory::Ptr &factory,
                     std::shared_ptr<ServerState> serverState);

    auto run() -> void override;

private:
    std::shared_ptr<ServerState> state;
};

} // namespace auburnrail::detail

#endif
