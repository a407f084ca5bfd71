#include <control/ControlTables.h>

#include "FailoverGap.h"

#include <daemon/Logging.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace auburnrail {

namespace {

/// Interval of the checks whether a promoted endpoint is primary; a promotion takes some hundred
/// milliseconds.
constexpr auto PRIMARY_CHECK_INTERVAL = std::chrono::milliseconds(60);

auto positionText(const Position &position) -> std::string
{
    return absl::StrCat(position.term, ".", position.index);
}

auto logFailover(const FailoverRecord &record) -> void
{
    const auto began = record.phases.empty() ? record.endedAt : record.phases.front().startedAt;
    logLine(LogLevel::Info, "failover", record.completed ? "failover completed" : "failover ended",
            {{"group", record.group},
             {"cause", std::string(nameOf(record.cause))},
             {"old_primary", record.oldPrimary},
             {"new_primary", record.newPrimary},
             {"term", absl::StrCat(record.term)},
             {"position", positionText(record.position)},
             {"duration_ms", absl::StrCat(toMillis(record.endedAt - began))},
             {"note", record.note}});
}

/// One word for each endpoint that was compared: name, position, its age, and its former role.
auto fencedText(const PromotionEvidence &evidence) -> std::string
{
    return absl::StrJoin(evidence.fenced, " ", [&](std::string *text, const FenceEvidence &fenced) {
        absl::StrAppend(text, fenced.endpoint, "@", positionText(fenced.position), "/",
                        toMillis(evidence.orderedAt - fenced.receivedAt), "ms",
                        fenced.wasPrimary ? "/primary" : "");
    });
}

auto logPromotion(const PromotionEvidence &evidence) -> void
{
    const auto confirmed =
        evidence.leasesConfirmedAt
            ? absl::StrCat(toMillis(evidence.orderedAt - *evidence.leasesConfirmedAt))
            : std::string("never");
    logLine(
        LogLevel::Info, "failover", "promotion ordered",
        {{"group", evidence.group},
         {"term", absl::StrCat(evidence.term)},
         {"cause", std::string(nameOf(evidence.cause))},
         {"endpoint", evidence.endpoint},
         {"old_primary", evidence.oldPrimary},
         {"try", absl::StrCat(evidence.tries)},
         {"leases_confirmed_ms_ago", confirmed},
         {"acknowledged", evidence.acknowledged ? positionText(*evidence.acknowledged) : "unknown"},
         {"fenced", fencedText(evidence)},
         {"not_fenced", absl::StrJoin(evidence.notFenced, " ")}});
}

auto logPromotionSeen(const GroupEndpoint &endpoint, const std::string &group,
                      const std::optional<EndpointRoleStatus> &status) -> void
{
    const auto leads = status && status->isPrimary;
    logLine(leads ? LogLevel::Info : LogLevel::Warning, "failover",
            leads ? "promotion took effect" : "promotion not seen in time",
            {{"group", group},
             {"endpoint", endpoint.name},
             {"endpoint_term", status ? absl::StrCat(status->term) : ""},
             {"position", status ? positionText(status->position) : ""}});
}

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
    failoverHooks.publish = [this](const std::string &group, std::uint64_t term,
                                   const std::string &primary, auto done) {
        this->pipeline.submit(this->makeCommand(PublishPrimary{group, term, primary}),
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
    failoverHooks.promotionOrdered = logPromotion;
    failoverHooks.failoverEnded = [this](const FailoverRecord &record) {
        logFailover(record);
        this->failovers.add(record);
        this->countFailover(record);
    };
    return failoverHooks;
}

auto ControlTables::promoteAndAwait(const GroupEndpoint &endpoint, const std::string &group,
                                    std::uint64_t term, const std::vector<GroupEndpoint> &members,
                                    const std::function<auto(bool, TimePoint)->void> &done) -> void
{
    if (!this->endpointHooks.promote(endpoint, group, term, members)) {
        done(false, this->executor.now());
        return;
    }
    if (!this->endpointHooks.status) {
        done(true, this->executor.now());
        return;
    }
    const auto deadline = this->executor.now() + this->settings.failover.callTimeout;
    this->awaitPrimary(endpoint, group, deadline, done);
}

auto ControlTables::awaitPrimary(const GroupEndpoint &endpoint, const std::string &group,
                                 TimePoint deadline,
                                 const std::function<auto(bool, TimePoint)->void> &done) -> void
{
    this->executor.postAfter(PRIMARY_CHECK_INTERVAL, [this, endpoint, group, deadline, done] {
        const auto status = this->endpointHooks.status(endpoint, group);
        const auto leads = status && status->isPrimary;
        const auto now = this->executor.now();
        if (!leads && now < deadline) {
            this->awaitPrimary(endpoint, group, deadline, done);
            return;
        }
        logPromotionSeen(endpoint, group, status);
        done(leads, now);
    });
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
