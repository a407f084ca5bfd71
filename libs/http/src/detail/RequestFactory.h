#ifndef AUBURNRAIL_HTTP_DETAIL_REQUESTFACTORY_H
#define AUBURNRAIL_HTTP_DETAIL_REQUESTFACTORY_H

#include "ServerState.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <memory>

namespace auburnrail::detail {

/// Creates the handler that passes POCO's requests to the `handle` hook.
class RequestFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit RequestFactory(std::shared_ptr<ServerState> serverState);

    auto createRequestHandler(const Poco::Net::HTTPServerRequest &request)
        -> Poco::Net::HTTPRequestHandler * override;

private:
    std::shared_ptr<ServerState> state;
};

} // namespace auburnrail::detail

#endif
