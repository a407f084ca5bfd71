#include <entry/ProbeLoop.h>

namespace auburnrail {

namespace {

constexpr auto CHECK_INTERVAL = std::chrono::milliseconds(100);
constexpr auto PROBE_TIME_LIMIT = std::chrono::milliseconds(400);

auto failureOf(EndpointExchangePhase phase) -> EndpointFailure
{
    switch (phase) {
    case EndpointExchangePhase::TimedOut:
        return EndpointFailure::TimedOut;
    case EndpointExchangePhase::Connecting:
    case EndpointExchangePhase::Refused:
        return EndpointFailure::Unreachable;
    default:
        return EndpointFailure::Lost;
    }
}

} // namespace

ProbeLoop::ProbeLoop(EntryTables &entryTables)
    : tables(entryTables)
{
}

auto ProbeLoop::start() -> void
{
    this->tables.executor.post([this] { this->probeDueEndpoints(); });
}

auto ProbeLoop::probeDueEndpoints() -> void
{
    for (const auto &view : this->tables.endpoints.probeDue(this->tables.executor.now())) {
        this->tables.executor.post(
            [this, group = view.group, name = view.name] { this->probe(group, name); });
    }
    this->tables.executor.postAfter(CHECK_INTERVAL, [this] { this->probeDueEndpoints(); });
}

auto ProbeLoop::probe(const std::string &group, const std::string &endpoint) -> void
{
    auto request = EndpointRequest();
    request.operation = EndpointOperation::Status;
    const auto sentAt = this->tables.executor.now();
    const auto end = this->tables.connections.exchangeOnce(endpoint, request, PROBE_TIME_LIMIT);
    const auto now = this->tables.executor.now();
    if (end.phase != EndpointExchangePhase::Answered) {
        this->tables.endpoints.recordFailure(endpoint, failureOf(end.phase), now);
        return;
    }
    this->tables.endpoints.recordResponse(endpoint,
                                          EndpointObservation{.position = end.response.position,
                                                              .term = end.response.term,
                                                              .primary = end.response.primary,
                                                              .leaving = end.response.leaving,
                                                              .dataAge = end.response.dataAge,
                                                              .sentAt = sentAt,
                                                              .responseTime = now - sentAt},
                                          now);
    this->tables.replication.recordPosition(group, endpoint, end.response.position);
}

} // namespace auburnrail
