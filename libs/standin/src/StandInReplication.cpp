// Terms, roles and replication of StandInDatabase; its operations are in StandInDatabase.cpp.
#include <standin/StandInDatabase.h>

#include <core/RankedLock.h>

namespace auburnrail {

namespace {

constexpr auto MAX_ENTRIES_PER_PULL = std::size_t(512);

} // namespace

auto StandInDatabase::fence(std::uint64_t newTerm, TimePoint now) -> FenceResponse
{
    const RankedLock lock(this->mutex);
    const auto isPrimary = this->role == StandInRole::Primary;
    auto answer =
        FenceResponse{.accepted = newTerm > this->term || (newTerm == this->term && !isPrimary),
                      .position = this->log.last(),
                      .highestTerm = this->term,
                      .wasPrimary = isPrimary,
                      .rebuilding = this->rebuilding};
    if (newTerm > this->term) {
        this->enterTerm(newTerm, StandInRole::Fenced, now);
        answer.highestTerm = newTerm;
    }
    return answer;
}

auto StandInDatabase::promote(std::uint64_t newTerm, TimePoint now) -> bool
{
    const RankedLock lock(this->mutex);
    if (newTerm < this->term)
        return false;
    if (newTerm == this->term && this->role == StandInRole::Primary)
        return true;
    this->enterTerm(newTerm, StandInRole::Primary, now);
    this->rebuilding = false;
    this->termStart = this->log.append(GroupLogEntry(), newTerm);
    return true;
}

auto StandInDatabase::follow(std::uint64_t newTerm, const GroupEndpoint &newSource, TimePoint now)
    -> bool
{
    const RankedLock lock(this->mutex);
    if (newTerm < this->term || (newTerm == this->term && this->role == StandInRole::Primary))
        return false;
    this->enterTerm(newTerm, StandInRole::Replica, now);
    this->source = newSource;
    return true;
}

auto StandInDatabase::serveLog(const LogRequest &request) const -> LogResponse
{
    const RankedLock lock(this->mutex);
    auto answer = LogResponse{.exchangeId = request.exchangeId,
                              .term = this->term,
                              .primary = this->role == StandInRole::Primary,
                              .matches = this->log.contains(request.after),
                              .complete = false,
                              .after = request.after,
                              .lastCommon = this->log.lastNotAfter(request.after),
                              .entries = {}};
    if (request.term != this->term || !answer.matches)
        return answer;
    answer.entries = this->log.entriesAfter(request.after, MAX_ENTRIES_PER_PULL);
    const auto end = answer.entries.empty() ? request.after : answer.entries.back().position;
    answer.complete = end == this->log.last();
    return answer;
}

auto StandInDatabase::nextPull() const -> std::optional<StandInPull>
{
    const RankedLock lock(this->mutex);
    if (this->role != StandInRole::Replica || this->source.address.empty())
        return std::nullopt;
    return StandInPull{.address = this->source.address,
                       .source = this->source.name,
                       .request = LogRequest{.exchangeId = "",
                                             .endpoint = this->settings.endpoint,
                                             .term = this->term,
                                             .after = this->log.last(),
                                             .waitLimit = {}}};
}

auto StandInDatabase::takeLog(const LogResponse &answer, TimePoint sentAt) -> void
{
    const RankedLock lock(this->mutex);
    if (this->role != StandInRole::Replica || answer.term != this->term
        || answer.after != this->log.last())
        return;
    if (!answer.matches) {
        this->log.truncateAfter(answer.lastCommon);
        return;
    }
    this->log.adopt(answer.entries);
    if (answer.complete && answer.primary) {
        this->freshAt = sentAt;
        this->rebuilding = false;
    }
}

auto StandInDatabase::reset() -> void
{
    const RankedLock lock(this->mutex);
    this->log = StandInLog();
    this->role = StandInRole::Fenced;
    this->term = 0;
    this->termStart = Position();
    this->source = GroupEndpoint();
    this->freshAt.reset();
    this->rebuilding = true;
    this->sessions.clear();
}

auto StandInDatabase::enterTerm(std::uint64_t newTerm, StandInRole newRole, TimePoint now) -> void
{
    if (this->role == StandInRole::Primary)
        this->freshAt = now;
    if (this->role == StandInRole::Primary || newTerm > this->term) {
        for (auto &[connection, session] : this->sessions)
            if (session.transaction)
                session.transaction->aborted = true;
    }
    this->term = newTerm;
    this->role = newRole;
    this->source = GroupEndpoint();
}

} // namespace auburnrail
