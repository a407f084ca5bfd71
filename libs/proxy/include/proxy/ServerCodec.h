#ifndef AUBURNRAIL_PROXY_SERVERCODEC_H
#define AUBURNRAIL_PROXY_SERVERCODEC_H

#include <proxy/ServerInput.h>
#include <proxy/ServerOpening.h>
#include <proxy/ServerRequest.h>

#include <functional>
#include <string>
#include <string_view>

namespace auburnrail {

/// Encoding of the protocol between the proxy and servers. Supplied by a front end.
struct ServerCodec
{
    std::function<auto(const ServerOpening &opening)->std::string> encodeOpening;
    std::function<auto(const ServerRequest &request)->std::string> encodeRequest;

    /// Adds the complete messages at the start of `bytes` to `response`, up to the end of the
    /// response.
    std::function<auto(std::string_view bytes, StatementResponse &response)->ServerInput> decode;
};

} // namespace auburnrail

#endif
