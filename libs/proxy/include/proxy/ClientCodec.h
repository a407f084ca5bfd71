#ifndef AUBURNRAIL_PROXY_CLIENTCODEC_H
#define AUBURNRAIL_PROXY_CLIENTCODEC_H

#include <proxy/ClientInput.h>
#include <proxy/StatementAnswer.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// How callers' sessions are spoken. Filled by a front end; the proxy itself knows no encoding.
struct ClientCodec
{
    /// The first whole message of `bytes`; nothing while it is not whole.
    std::function<auto(std::string_view bytes)->std::optional<ClientInput>> decode;

    /// The session is open.
    std::function<auto()->std::string> encodeOpened;

    std::function<auto(const StatementAnswer &answer)->std::string> encodeAnswer;

    /// An error that ends the session, sent while no statement awaits an answer.
    std::function<auto(const StatementFailure &failure)->std::string> encodeRefusal;
};

} // namespace auburnrail

#endif
