#include <http/HttpServer.h>

#include "detail/ConnectionFactory.h"
#include "detail/ListeningSocket.h"
#include "detail/ServerState.h"

#include <daemon/Logging.h>

#include <core/StartThread.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <cassert>

namespace auburnrail {

namespace {

constexpr auto ACCEPT_BACKLOG = 256;
constexpr auto MAX_QUEUED_CONNECTIONS = 1024;
/// A client that sends nothing for this long within a request loses its worker.
constexpr auto SILENCE_LIMIT_S = 5;

} // namespace

struct HttpServer::Impl
{
    Impl(HttpServerSettings serverSettings, HttpServerHooks hooks)
        : settings(std::move(serverSettings))
        , state(std::make_shared<detail::ServerState>(std::move(hooks), settings.maxBodyBytes,
                                                      settings.workerThreads))
    {
    }

    /// `kResourceExhausted` when the system has no room for a thread.
    auto tryStart() -> absl::Status;

    HttpServerSettings settings;
    std::shared_ptr<detail::ServerState> state;
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
    std::uint16_t port = 0;
};

HttpServer::HttpServer(HttpServerSettings settings, HttpServerHooks hooks)
{
    assert(hooks.handle && "hooks.handle must be set");
    assert(settings.workerThreads > 0 && "workerThreads must be at least 1");
    if (!hooks.acceptRefused)
        hooks.acceptRefused = refusalLogger("http", "can't accept a connection");
    this->impl = std::make_unique<Impl>(std::move(settings), std::move(hooks));
}

HttpServer::~HttpServer()
{
    this->stop();
}

auto HttpServer::Impl::tryStart() -> absl::Status
{
    try {
        this->threads = std::make_unique<Poco::ThreadPool>(
            1, static_cast<int>(this->settings.workerThreads) + 1);
        auto socket = detail::ListeningSocket(this->state->hooks.acceptRefused);
        socket.bind(Poco::Net::SocketAddress(this->settings.address), true, false);
        socket.listen(ACCEPT_BACKLOG);
        this->port = socket.address().port();
        auto params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(new Poco::Net::HTTPServerParams);
        params->setMaxThreads(static_cast<int>(this->settings.workerThreads));
        params->setMaxQueued(MAX_QUEUED_CONNECTIONS);
        params->setTimeout(Poco::Timespan(SILENCE_LIMIT_S, 0));
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(0);
        params->setKeepAliveTimeout(Poco::Timespan(3600, 0));
        this->server = std::make_unique<Poco::Net::TCPServer>(
            new detail::ConnectionFactory(params, this->state), *this->threads, socket, params);
        this->server->start();
        return absl::OkStatus();
    } catch (const Poco::SystemException &error) {
        // What POCO throws when a thread can't be started.
        this->server.reset();
        return absl::ResourceExhaustedError("can't serve " + this->settings.address + ": "
                                            + error.displayText());
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError("can't listen on " + this->settings.address + ": "
                                      + error.displayText());
    }
}

auto HttpServer::start() -> absl::Status
{
    return untilThreadStarts([this] { return this->impl->tryStart(); },
                             refusalLogger("http", NO_ROOM_FOR_THREAD));
}

auto HttpServer::stopAccepting() -> void
{
    this->impl->state->draining = true;
    if (this->impl->server != nullptr)
        this->impl->server->stop();
}

auto HttpServer::stop() -> void
{
    if (this->impl->server == nullptr)
        return;
    this->stopAccepting();
    this->impl->state->closeIdleConnections();
    this->impl->threads->joinAll();
    this->impl->server.reset();
}

auto HttpServer::port() const -> std::uint16_t
{
    return this->impl->port;
}

auto HttpServer::activeRequests() const -> std::size_t
{
    return this->impl->state->activeRequests;
}

} // namespace auburnrail
