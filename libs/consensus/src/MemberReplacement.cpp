#include "MemberReplacement.h"

namespace auburnrail::detail {

namespace {

/// The voter that gives its place to a spare member, or null.
auto voterToDisplace(const Configuration &present, const ProgressTable &table,
                     const ConsensusSettings &settings, TimePoint now) -> const MemberId *
{
    for (const auto &voter : present.voters) {
        const auto row = table.rows().find(voter);
        if (row != table.rows().end() && row->second.since + settings.displaceAfter <= now
            && !row->second.answersWithin(settings.displaceAfter, now))
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
        const auto caughtUp = progress.matchIndex + settings.learnerLag >= commitIndex
                              && progress.matchIndex > 0 && progress.answersWithin(window, now);
        if (progress.voter || !caughtUp)
            continue;
        auto proposed = present;
        if (const auto *replaced = present.find(learner.name)) {
            const auto row = table.rows().find(*replaced);
            const auto silent = row != table.rows().end() && row->second.since + window <= now
                                && !row->second.answersWithin(window, now);
            if (!silent)
                continue;
            proposed.voters.erase(*replaced);
        } else if (settings.admitsNewMembers && present.voters.size() >= settings.voters) {
            // The learner takes the free place with the next change.
            const auto *displaced = voterToDisplace(present, table, settings, now);
            if (displaced == nullptr)
                continue;
            proposed.voters.erase(*displaced);
        } else {
            proposed.voters.insert(learner);
        }
        if (table.answering(proposed, window, now) >= proposed.majority())
            return proposed;
    }
    return std::nullopt;
}

} // namespace auburnrail::detail
