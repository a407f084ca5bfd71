#ifndef AUBURNRAIL_HTTP_DETAIL_LISTENINGSOCKET_H
#define AUBURNRAIL_HTTP_DETAIL_LISTENINGSOCKET_H

#include <core/RefusalHook.h>

#include <Poco/Net/ServerSocket.h>

namespace auburnrail::detail {

/// A listening socket that reports errors of polling and accepting, and pauses after each one. A
/// TCPServer drops these errors, and tries again at once after some of them.
class ListeningSocket : public Poco::Net::ServerSocket
{
public:
    /// `refused` is called on the thread that accepts.
    explicit ListeningSocket(RefusalHook refused);
};

} // namespace auburnrail::detail

#endif
