#include <control/ControlTables.h>

#include "FailoverGap.h"
#include "FailoverLines.h"

#include <daemon/Logging.h>

namespace auburnrail {

namespace {

/// Interval of the checks whether a promoted endpoint is primary; a promotion takes some hundred
/// milliseconds.
constexpr auto PRIMARY_CHECK_INTERVAL = std::chrono::milliseconds(60);

} // namespace

auto ControlTables::makeFailoverHooks() -> FailoverHooks
{
    auto failoverHooks = FailoverHooks();
    failoverHooks.grantTerm = [this](const std::string &group, std::uint64_t term, auto done) {
        this->pipeline.submit(this->makeCommand(GrantTerm{group, term}),
                              [this, done](const absl::StatusOr<CommandResult> &result) {
                                  const auto isApplied =
                                      result.ok() && result->status == CommandStatus::Applied;
                                  done(isApplied ? std::optional(result->revision) : std::nullopt,
                                       this->executor.now());
                              });
    };
    failoverHooks.fence = [this](const GroupEndpoint &endpoint, const std::string &group,
                                 std::uint64_t term, auto done) {
        this->executor.post([this, endpoint, group, term, done] {
            done(this->endpointHooks.fence(endpoint, group, term), this->executor.now());
        });
    };
    failoverHooks.isInForce = [this](Revision revision, TimePoint now) {
        return this->leases.isInForce(revision, now);
    };
    failoverHooks.clock = [this] {
        return this->executor.now();
    };
    failoverHooks.leaseCensus = [this](TimePoint now) {
        return this->leases.census(now);
    };
    failoverHooks.promote = [this](const GroupEndpoint &endpoint, const std::string &group,
                                   std::uint64_t term, const std::vector<GroupEndpoint> &members,
                                   auto done) {
        this->executor.post([this, endpoint, group, term, members, done] {
            this->promoteAndAwait(endpoint, group, term, members, done);
        });
    };
    if (this->endpointHooks.status) {
        failoverHooks.inspect = [this](const GroupEndpoint &endpoint, const std::string &group,
                                       auto done) {
            this->executor.post([this, endpoint, group, done] {
                const auto status = this->endpointHooks.status(endpoint, group);
                auto inspection = std::optional<EndpointInspection>();
                if (status)
                    inspection = EndpointInspection{status->isPrimary, status->position};
                done(inspection, this->executor.now());
            });
        };
    }
    failoverHooks.acknowledgedKnown = [this](const std::string &group, std::uint64_t term,
                                             const Position &position) {
        this->submitInternal(RecordAcknowledged{group, term, position});
    };
    failoverHooks.publish = [this](const PublishPrimary &publication, auto done) {
        this->pipeline.submit(this->makeCommand(publication),
                              [this, done](const absl::StatusOr<CommandResult> &result) {
                                  done(result.ok() && result->status == CommandStatus::Applied,
                                       this->executor.now());
                              });
    };
    failoverHooks.follow = [this](const GroupEndpoint &endpoint, const std::string &group,
                                  std::uint64_t term, const GroupEndpoint &primary, auto done) {
        this->executor.post([this, endpoint, group, term, primary, done] {
            const auto isConfirmed = this->endpointHooks.follow(endpoint, group, term, primary);
            if (!isConfirmed) {
                logLine(LogLevel::Warning, "failover", "order to follow not confirmed",
                        {{"group", group}, {"endpoint", endpoint.name}, {"primary", primary.name}});
            }
            done(isConfirmed, this->executor.now());
        });
    };
    failoverHooks.promotionOrdered = [this](const PromotionEvidence &evidence) {
        detail::logPromotion(evidence);
        this->metrics.failovers().countOrdered(evidence);
    };
    failoverHooks.waitsForEvidence = [this](const EvidenceWait &wait) {
        detail::logEvidenceWait(wait);
        this->submitInternal(
            RecordEvidenceWait{.group = wait.evidence.group,
                               .term = wait.evidence.term,
                               .isWaiting = wait.stage != EvidenceWaitStage::Ended});
    };
    failoverHooks.failoverEnded = [this](const FailoverRecord &record) {
        detail::logFailover(record);
        this->metrics.failovers().countFailover(record);
        this->failovers.add(record);
        this->countFailover(record);
    };
    return failoverHooks;
}

auto ControlTables::promoteAndAwait(const GroupEndpoint &endpoint, const std::string &group,
                                    std::uint64_t term, const std::vector<GroupEndpoint> &members,
                                    const std::function<auto(bool, TimePoint)->void> &done) -> void
{
    const auto answer = this->endpointHooks.promote(endpoint, group, term, members);
    if (answer != OrderAnswer::Accepted || !this->endpointHooks.status) {
        this->endPromotion(promotionOutcome(answer), endpoint, group, term, std::nullopt);
        done(answer == OrderAnswer::Accepted, this->executor.now());
        return;
    }
    const auto deadline = this->executor.now() + this->settings.failover.callTimeout;
    this->awaitPrimary(endpoint, group, term, deadline, done);
}

auto ControlTables::awaitPrimary(const GroupEndpoint &endpoint, const std::string &group,
                                 std::uint64_t term, TimePoint deadline,
                                 const std::function<auto(bool, TimePoint)->void> &done) -> void
{
    this->executor.postAfter(PRIMARY_CHECK_INTERVAL, [this, endpoint, group, term, deadline, done] {
        const auto status = this->endpointHooks.status(endpoint, group);
        const auto leads = status && status->isPrimary;
        const auto now = this->executor.now();
        if (!leads && now < deadline) {
            this->awaitPrimary(endpoint, group, term, deadline, done);
            return;
        }
        this->endPromotion(leads ? PromotionOutcome::TookEffect : PromotionOutcome::NotSeen,
                           endpoint, group, term, status);
        done(leads, now);
    });
}

auto ControlTables::endPromotion(PromotionOutcome outcome, const GroupEndpoint &endpoint,
                                 const std::string &group, std::uint64_t term,
                                 const std::optional<EndpointRoleStatus> &status) -> void
{
    detail::logPromotionOutcome(outcome, endpoint, group, term, status);
    this->metrics.failovers().countOutcome(outcome);
}

auto ControlTables::countFailover(const FailoverRecord &record) -> void
{
    const auto gap = detail::failoverGap(record, this->settings.failover);
    if (!gap)
        return;
    const auto now = this->hooks.wallClock();
    this->store.objects().table<Service>().forEach([&](const Service &service) {
        if (service.group == record.group)
            this->burn.recordFailover(service.name, *gap, ReasonCode::NoPrimary, now);
    });
}

} // namespace auburnrail
