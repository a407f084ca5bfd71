#ifndef AUBURNRAIL_PROXY_PROXYSERVERHOOKS_H
#define AUBURNRAIL_PROXY_PROXYSERVERHOOKS_H

#include <proxy/AwaitLease.h>
#include <proxy/ClientCodec.h>
#include <proxy/OperationAdmission.h>
#include <proxy/Placement.h>
#include <proxy/PooledConnection.h>
#include <proxy/ServerCodec.h>
#include <proxy/ServerConnectionEvent.h>
#include <proxy/StatementReport.h>
#include <proxy/StatementRequest.h>
#include <request/AdmissionRequest.h>

#include <routing/EndpointView.h>
#include <state/FleetObjects.h>

#include <core/Position.h>
#include <core/RandomSource.h>
#include <core/RefusalHook.h>
#include <core/Time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnrail {

/// Functions that the entry provides to a ProxyServer.
struct ProxyServerHooks
{
    ClientCodec clientCodec;
    ServerCodec serverCodec;

    /// The fleet state that this entry has applied.
    std::function<auto()->std::shared_ptr<const FleetObjects>> state;
    std::function<auto(TimePoint now)->bool> holdsLease;
    AwaitLease awaitLease;

    /// Takes a token of the organisation's rate limit. Calls `done` during this call or later.
    std::function<auto(const AdmissionRequest &request, OperationAdmitted done)->void> admit;

    std::function<auto(const StatementReport &report)->void> report;

    /// Hook of StatementHooks with the same name; may be empty.
    std::function<auto(const std::string &group, std::optional<Position> position,
                       const std::function<auto()->bool> &decide)
                      ->bool>
        acknowledge;

    /// Hooks of ServerConnectionsHooks with the same names; may be empty.
    std::function<auto(const std::string &group, std::uint64_t term, Position position,
                       TimePoint sentAt)
                      ->void>
        primaryNamed;
    std::function<
        auto(const Placement &placement, const StatementRequest &request)->PooledConnectionPointer>
        relay;
    std::function<auto(const EndpointView &view)->bool> relayProbe;

    /// Number of entries of the zone that run statements for others. May be empty: none do.
    std::function<auto(const std::string &zone)->std::size_t> holdersBeside;

    /// Counts what happens to connections to servers; may be empty.
    std::function<auto(ServerConnectionEvent event)->void> countConnection;
    RandomSource random;
    RefusalHook threadRefused; ///< May be empty.
    RefusalHook acceptRefused; ///< May be empty.
};

} // namespace auburnrail

#endif
