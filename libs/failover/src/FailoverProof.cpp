// What shows that an endpoint may be promoted. The rest of an attempt's decisions are in
// FailoverAttempt.cpp.
#include <failover/detail/FailoverAttempt.h>

#include <algorithm>
#include <compare>

namespace auburnrail::detail {

auto FailoverAttempt::isHolder(const std::string &endpoint) const -> bool
{
    const auto position = this->acknowledged.known();
    const auto found = this->fences.find(endpoint);
    return position && found != this->fences.end() && !found->second.rebuilding
           && std::is_gteq(found->second.position <=> *position)
           && found->second.position.index >= position->index;
}

auto FailoverAttempt::oldPrimaryLog() const -> std::optional<Position>
{
    const auto *old = this->view.find(this->view.primary);
    if (old == nullptr)
        return std::nullopt;
    const auto hasRestarted = !this->declaresLostLogs && this->view.primaryStartedAt != 0
                              && old->startedAt != this->view.primaryStartedAt;
    const auto isGone = this->gone.contains(old->name);
    auto end = std::optional<Position>();
    for (const auto &endpoint : this->view.endpoints) {
        const auto found = this->fences.find(endpoint.name);
        if (found == this->fences.end() || found->second.rebuilding)
            continue;
        const auto isOld = endpoint.name == old->name && !isGone && !hasRestarted;
        // Another process may use the address: only one that led has the log of a crashed primary.
        const auto isSuccessor = isGone && endpoint.name != old->name && !old->address.empty()
                                 && endpoint.address == old->address
                                 && (old->leaving || this->leaders.contains(endpoint.name));
        if (isOld || isSuccessor)
            end = std::max(end.value_or(Position()), found->second.position);
    }
    if (!end || this->declaresLostLogs)
        return end;
    // A primary's log is ahead of all others: one that isn't has been lost.
    const auto isBehind =
        std::is_lt(*end <=> this->acknowledged.atLeast())
        || std::any_of(this->fences.begin(), this->fences.end(),
                       [&](const auto &row) { return std::is_lt(*end <=> row.second.position); });
    return isBehind || end->index == 0 ? std::nullopt : end;
}

auto FailoverAttempt::isIdentified(const GroupEndpoint &endpoint) const -> bool
{
    if (this->declaresLostLogs)
        return true;
    const auto heard = this->heardAt.find(endpoint.name);
    const auto fenced = this->fencedAt.find(endpoint.name);
    return endpoint.startedAt != 0 && heard != this->heardAt.end() && fenced != this->fencedAt.end()
           && heard->second >= fenced->second;
}

auto FailoverAttempt::replicaLogs() const -> std::optional<Position>
{
    if (this->view.evidence.publishedIn == 0 || !this->view.evidence.ended.empty())
        return std::nullopt;
    auto end = Position();
    for (const auto &endpoint : this->view.endpoints) {
        // The primary confirms no commit of its own.
        if (endpoint.name == this->view.primary)
            continue;
        const auto found = this->fences.find(endpoint.name);
        if (found == this->fences.end() || found->second.rebuilding
            || !this->isIdentified(endpoint))
            return std::nullopt;
        end = std::max(end, found->second.position);
    }
    // An entry has acknowledged a commit that none of them has: somebody else confirmed it.
    const auto isContradicted = std::is_lt(end <=> this->acknowledged.atLeast());
    // What earlier terms acknowledged is at the primary, and nobody has received all of it.
    const auto isBehindStart = std::is_lt(end <=> this->view.evidence.start);
    return end.index == 0 || isContradicted || isBehindStart ? std::nullopt : std::optional(end);
}

auto FailoverAttempt::proofOf(const std::string &endpoint) const -> PromotionProof
{
    if (!this->needsProof())
        return PromotionProof::NotNeeded;
    const auto found = this->fences.find(endpoint);
    if (found == this->fences.end() || found->second.rebuilding)
        return PromotionProof::None;
    if (this->isHolder(endpoint))
        return PromotionProof::AcknowledgedPosition;
    const auto oldLog = this->oldPrimaryLog();
    if (oldLog && std::is_gteq(found->second.position <=> *oldLog))
        return PromotionProof::OldPrimaryLog;
    const auto logs = this->replicaLogs();
    if (logs && endpoint != this->view.primary && std::is_gteq(found->second.position <=> *logs))
        return PromotionProof::ReplicaLogs;
    const auto isAccepted = this->acceptedLoss && this->acceptedLoss->endpoint == endpoint
                            && this->acceptedLoss->position == found->second.position;
    return isAccepted ? PromotionProof::OperatorDecision : PromotionProof::None;
}

auto FailoverAttempt::hasProof() const -> bool
{
    return std::any_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                       [&](const GroupEndpoint &endpoint) {
                           return this->proofOf(endpoint.name) != PromotionProof::None;
                       });
}

auto FailoverAttempt::isOldPrimaryNeeded() const -> bool
{
    return std::none_of(this->view.endpoints.begin(), this->view.endpoints.end(),
                        [&](const GroupEndpoint &endpoint) {
                            return endpoint.name != this->view.primary
                                   && isAboutLogs(this->proofOf(endpoint.name));
                        });
}

} // namespace auburnrail::detail
