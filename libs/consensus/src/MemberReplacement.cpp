#include "MemberReplacement.h"

namespace auburnrail::detail {

namespace {

/// Returns an unresponsive voter that a learner may replace, or nullptr.
auto findUnresponsiveVoter(const Configuration &present, const ProgressTable &table,
                           const ConsensusSettings &settings, TimePoint now) -> const MemberId *
{
    for (const auto &voter : present.voters) {
        const auto row = table.rows().find(voter);
        if (row != table.rows().end()
            && row->second.replicatingSince + settings.replaceUnresponsiveAfter <= now
            && !row->second.respondedWithin(settings.replaceUnresponsiveAfter, now))
            return &voter;
    }
    return nullptr;
}

} // namespace

auto nextConfiguration(const Configuration &present, const ProgressTable &table,
                       LogIndex commitIndex, const ConsensusSettings &settings, TimePoint now)
    -> std::optional<Configuration>
{
    const auto window = settings.minElectionTimeout;
    for (const auto &[learner, progress] : table.rows()) {
        const auto caughtUp = progress.matchIndex + settings.maxLearnerLag >= commitIndex
                              && progress.matchIndex > 0 && progress.respondedWithin(window, now);
        if (progress.voter || !caughtUp)
            continue;
        auto proposed = present;
        if (const auto *replaced = present.find(learner.name)) {
            const auto row = table.rows().find(*replaced);
            const auto unresponsive = row != table.rows().end()
                                      && row->second.replicatingSince + window <= now
                                      && !row->second.respondedWithin(window, now);
            if (!unresponsive)
                continue;
            proposed.voters.erase(*replaced);
        } else if (settings.admitsNewMembers && present.voters.size() >= settings.voters) {
            // Removes the unresponsive voter; the next configuration adds the learner.
            const auto *unresponsiveVoter = findUnresponsiveVoter(present, table, settings, now);
            if (unresponsiveVoter == nullptr)
                continue;
            proposed.voters.erase(*unresponsiveVoter);
        } else {
            proposed.voters.insert(learner);
        }
        if (table.countResponsive(proposed, window, now) >= proposed.majority())
            return proposed;
    }
    return std::nullopt;
}

} // namespace auburnrail::detail
