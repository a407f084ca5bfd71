#ifndef AUBURNRAIL_HTTP_DETAIL_LISTENINGSOCKET_H
#define AUBURNRAIL_HTTP_DETAIL_LISTENINGSOCKET_H

#include <absl/status/status.h>

#include <Poco/Net/ServerSocket.h>

#include <functional>

namespace auburnrail::detail {

/// A listening socket that reports errors of polling and accepting, and pauses after each one. A
/// TCPServer drops these errors, and tries again at once after some of them.
class ListeningSocket : public Poco::Net::ServerSocket
{
public:
    using Refused = std::function<auto(const absl::Status &)->void>;

    /// `refused` is called on the thread that accepts.
    explicit ListeningSocket(Refused refused);
};

} // namespace auburnrail::detail

#endif
