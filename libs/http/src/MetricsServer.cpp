#include <http/MetricsServer.h>

#include <http/QueryString.h>

namespace auburnrail {

namespace {

/// A scraper reads one page every few seconds.
constexpr auto METRICS_THREADS = std::size_t(1);
constexpr auto STATUS_NOT_FOUND = 404;

} // namespace

MetricsServer::MetricsServer(const std::string &address, std::function<auto()->std::string> text)
{
    if (address.empty())
        return;
    const auto handle = [text = std::move(text)](const HttpRequest &request) {
        if (parseTarget(request.target).path != "/metrics")
            return HttpResponse{.status = STATUS_NOT_FOUND, .body = R"({"error":"unknown path"})"};
        return HttpResponse{.body = text(), .contentType = "text/plain; version=0.0.4"};
    };
    this->server.emplace(HttpServerSettings{.address = address, .workerThreads = METRICS_THREADS},
                         HttpServerHooks{.handle = handle});
}

auto MetricsServer::start() -> absl::Status
{
    return this->server ? this->server->start() : absl::OkStatus();
}

auto MetricsServer::stop() -> void
{
    if (this->server)
        this->server->stop();
}

auto MetricsServer::port() const -> std::uint16_t
{
    return this->server ? this->server->port() : std::uint16_t(0);
}

} // namespace auburnrail
