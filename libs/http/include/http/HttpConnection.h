#ifndef AUBURNRAIL_HTTP_HTTPCONNECTION_H
#define AUBURNRAIL_HTTP_HTTPCONNECTION_H

#include <http/ExchangeResult.h>
#include <http/HttpRequest.h>

#include <core/Time.h>

#include <memory>
#include <string>

namespace auburnrail {

/// One keep-alive client connection; carries one exchange at a time and never reconnects by itself,
/// because the server may hold state of the connection (an open transaction).
/// Thread rule: one caller at a time, except abort().
class HttpConnection
{
public:
    /// `address` is IP:port. Nothing is opened yet.
    explicit HttpConnection(const std::string &address);
    HttpConnection(const HttpConnection &) = delete;
    auto operator=(const HttpConnection &) -> HttpConnection & = delete;
    ~HttpConnection();

    /// Sends `request` and reads the whole answer; connects on the first call. Blocks for at most
    /// about `timeout`. After any phase but Answered the connection is closed for good.
    [[nodiscard]] auto exchange(const HttpRequest &request, Duration timeout) -> ExchangeResult;

    /// False once an exchange failed, the peer said "close", or after abort().
    [[nodiscard]] auto isUsable() const -> bool;

    /// Ends the connection from any thread; an exchange under way fails.
    auto abort() -> void;

private:
    struct Session;

    std::unique_ptr<Session> session;
};

/// One exchange on a connection of its own.
[[nodiscard]] auto exchangeOnce(const std::string &address, const HttpRequest &request,
                                Duration timeout) -> ExchangeResult;

} // namespace auburnrail

#endif
