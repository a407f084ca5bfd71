#ifndef AUBURNRAIL_PROXY_CLIENTCODEC_H
#define AUBURNRAIL_PROXY_CLIENTCODEC_H

#include <proxy/ClientInput.h>
#include <proxy/StatementResponse.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// Encoding of the protocol between clients and the proxy. Supplied by a front end; the proxy
/// itself does not depend on an encoding.
struct ClientCodec
{
    /// Decodes the first message in `bytes`; std::nullopt while the message is incomplete.
    std::function<auto(std::string_view bytes)->std::optional<ClientInput>> decode;

    /// Message that tells the client that its session is open.
    std::function<auto()->std::string> encodeOpened;

    std::function<auto(const StatementResponse &response)->std::string> encodeResponse;

    /// An error that ends the session, sent while no statement waits for a response.
    std::function<auto(const StatementFailure &failure)->std::string> encodeRefusal;
};

} // namespace auburnrail

#endif
