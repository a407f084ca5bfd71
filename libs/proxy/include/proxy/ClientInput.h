#ifndef AUBURNRAIL_PROXY_CLIENTINPUT_H
#define AUBURNRAIL_PROXY_CLIENTINPUT_H

#include <proxy/ClientStatement.h>
#include <proxy/SessionOpening.h>

#include <cstddef>
#include <string>
#include <variant>

namespace auburnrail {

/// The client ends its session.
struct SessionEnd
{
    auto operator==(const SessionEnd &) const -> bool = default;
};

/// Bytes that can't be decoded as a message.
struct MalformedInput
{
    std::string reason;

    auto operator==(const MalformedInput &) const -> bool = default;
};

/// One message of a client and its encoded size.
struct ClientInput
{
    std::variant<SessionOpening, ClientStatement, SessionEnd, MalformedInput> message;
    std::size_t bytes = 0;
};

} // namespace auburnrail

#endif
