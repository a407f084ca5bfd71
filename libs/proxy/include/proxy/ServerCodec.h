#ifndef AUBURNRAIL_PROXY_SERVERCODEC_H
#define AUBURNRAIL_PROXY_SERVERCODEC_H

#include <proxy/ServerInput.h>
#include <proxy/ServerOpening.h>
#include <proxy/ServerRequest.h>

#include <functional>
#include <string>
#include <string_view>

namespace auburnrail {

/// How servers are spoken to. Filled by a front end.
struct ServerCodec
{
    std::function<auto(const ServerOpening &opening)->std::string> encodeOpening;
    std::function<auto(const ServerRequest &request)->std::string> encodeRequest;

    /// Adds the whole messages at the beginning of `bytes` to `answer`, up to its end.
    std::function<auto(std::string_view bytes, StatementAnswer &answer)->ServerInput> decode;
};

} // namespace auburnrail

#endif
