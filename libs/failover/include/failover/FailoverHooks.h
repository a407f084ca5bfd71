#ifndef AUBURNRAIL_FAILOVER_FAILOVERHOOKS_H
#define AUBURNRAIL_FAILOVER_FAILOVERHOOKS_H

#include <failover/EndpointInspection.h>
#include <failover/EvidenceWait.h>
#include <failover/FailoverRecord.h>
#include <failover/FenceResponse.h>
#include <failover/GroupEndpoint.h>
#include <failover/PromotionEvidence.h>

#include <lease/LeaseCensus.h>
#include <state/PublishPrimary.h>

#include <core/Revision.h>
#include <core/Time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Outputs of a FailoverCoordinator. Hooks are called without its mutex held. A hook calls `done`
/// at most once, with the time of the response; if it never does, the step is retried. `term` is
/// always the term of the attempt.
struct FailoverHooks
{
    /// Commits the term with phase `fencing`. `done` gets the revision of that change, or nothing
    /// if it was not committed.
    std::function<auto(const std::string &group, std::uint64_t term,
                       std::function<auto(std::optional<Revision>, TimePoint)->void> done)
                      ->void>
        grantTerm;

    /// Sends a fence request. `done` gets nothing if the endpoint did not respond.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       std::function<auto(std::optional<FenceResponse>, TimePoint)->void> done)
                      ->void>
        fence;

    /// Whether every live lease names `revision` or a later one.
    std::function<auto(Revision revision, TimePoint now)->bool> isInForce;

    /// The present time, for what must not be older than the check before it. May be empty: the
    /// time that the caller of the coordinator passed is used.
    std::function<auto()->TimePoint> clock;

    /// The live leases of entries; nothing while it isn't certain that all are known. May be empty:
    /// it never is.
    std::function<auto(TimePoint now)->std::optional<LeaseCensus>> leaseCensus;

    /// Makes the endpoint primary of the term. Idempotent for the same endpoint and term.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const std::vector<GroupEndpoint> &members,
                       std::function<auto(bool, TimePoint)->void> done)
                      ->void>
        promote;

    /// Asks the endpoint what it is, without an order. `done` gets nothing if it did not respond.
    /// May be empty: orders are repeated without it.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group,
                       std::function<auto(std::optional<EndpointInspection>, TimePoint)->void> done)
                      ->void>
        inspect;

    /// Commits the primary with phase `serving`.
    std::function<auto(const PublishPrimary &publication,
                       std::function<auto(bool, TimePoint)->void> done)
                      ->void>
        publish;

    /// Commits the highest position that entries have acknowledged, for the leaders that may follow
    /// in this failover. May be empty: each collects it again.
    std::function<
        auto(const std::string &group, std::uint64_t term, const Position &position)->void>
        acknowledgedKnown;

    /// Makes the endpoint a replica of `primary`. Idempotent. `done` gets whether the endpoint has
    /// confirmed it.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const GroupEndpoint &primary,
                       std::function<auto(bool, TimePoint)->void> done)
                      ->void>
        follow;

    /// Receives what a promotion relies on, right before it is ordered. May be empty.
    std::function<auto(const PromotionEvidence &evidence)->void> promotionOrdered;

    /// Receives a wait for evidence when it begins, every FailoverLimits::evidenceWaitInterval, and
    /// when it ends. May be empty.
    std::function<auto(const EvidenceWait &wait)->void> waitsForEvidence;

    /// Receives the record of a failover that ended.
    std::function<auto(const FailoverRecord &record)->void> failoverEnded;
};

} // namespace auburnrail

#endif
