#ifndef AUBURNRAIL_HTTP_METRICSSERVER_H
#define AUBURNRAIL_HTTP_METRICSSERVER_H

#include <http/HttpServer.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Serves the metrics of one process at /metrics of an address of their own, which does not depend
/// on how callers and operators reach the process.
class MetricsServer
{
public:
    /// `text` gives the metrics in the text exposition format. With an empty address nothing is
    /// served.
    MetricsServer(const std::string &address, std::function<auto()->std::string> text);

    [[nodiscard]] auto start() -> absl::Status;
    auto stop() -> void;

    /// Port in use after start(); 0 without an address.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    std::optional<HttpServer> server;
};

} // namespace auburnrail

#endif
