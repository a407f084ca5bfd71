#ifndef AUBURNRAIL_HTTP_HTTPSERVER_H
#define AUBURNRAIL_HTTP_HTTPSERVER_H

#include <http/HttpRequest.h>
#include <http/HttpResponse.h>

#include <core/RefusalHook.h>

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace auburnrail {

/// What an HttpServer does with requests. Hooks run on the server's workers, one for each
/// connection at a time.
struct HttpServerHooks
{
    std::function<auto(const HttpRequest &)->HttpResponse> handle;

    /// Optional. A connection was opened; false closes it before any request is read.
    /// `connection` is unique in this server's life.
    std::function<auto(std::uint64_t connection)->bool> opened;

    /// Optional. The connection is gone; called once for each one that was accepted.
    std::function<auto(std::uint64_t connection)->void> closed;

    /// A connection could not be accepted, for lack of descriptors in most cases; it is tried again
    /// after a pause. Logged by default.
    RefusalHook acceptRefused;
};

/// Where and how an HttpServer listens.
struct HttpServerSettings
{
    std::string address;                ///< IP:port; port 0 lets the system choose one.
    std::size_t workerThreads = 16;     ///< Connections served at one time; others wait.
    std::size_t maxBodyBytes = 1048576; ///< Longer bodies get status 413.
};

/// HTTP/1.1 server with a pool of workers; a keep-alive connection holds one worker. Three quarters
/// of the workers may be held so; beyond that, responses close their connections, unless
/// `HttpResponse::keepOpen` is set.
/// Each request carries the header `x-connection` with the number given to `opened`.
class HttpServer
{
public:
    HttpServer(HttpServerSettings settings, HttpServerHooks hooks);
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Calls stop().
    ~HttpServer();

    /// Binds and starts. `kUnavailable` when the address is in use or can't be bound.
    [[nodiscard]] auto start() -> absl::Status;

    /// Accepts no more connections; open ones get "Connection: close" with their next answer.
    auto stopAccepting() -> void;

    /// Closes every connection once its request under way is answered, and joins the workers.
    auto stop() -> void;

    /// Port in use after start().
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Requests that are being handled now.
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
