#include <entry/ServerConnectionLog.h>

#include <daemon/Logging.h>

namespace auburnrail {

ServerConnectionLog::ServerConnectionLog(Metrics &entryMetrics)
    : counters(entryMetrics, "auburnrail_server_connections_total",
               "Connections to servers, by what happened to them.")
{
}

auto ServerConnectionLog::count(ServerConnectionEvent event) -> void
{
    this->counters.add(event);
    ++this->counts.at(static_cast<std::size_t>(event));
}

auto ServerConnectionLog::tick(TimePoint now) -> void
{
    if (now < this->nextLine)
        return;
    this->nextLine = now + INTERVAL_S;
    auto fields = LogFields();
    auto sum = std::uint64_t(0);
    for (const auto &row : ENUM_NAMES<ServerConnectionEvent>) {
        const auto count = this->counts.at(static_cast<std::size_t>(row.value)).exchange(0);
        fields.emplace_back(row.name, std::to_string(count));
        sum += count;
    }
    if (sum > 0)
        logLine(LogLevel::Info, "connections", "connections to servers in the last interval",
                fields);
}

} // namespace auburnrail
