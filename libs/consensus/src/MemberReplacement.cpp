#include "MemberReplacement.h"

namespace auburnrail::detail {

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
        } else {
            proposed.voters.insert(learner);
        }
        if (table.answering(proposed, window, now) >= proposed.majority())
            return proposed;
    }
    return std::nullopt;
}

} // namespace auburnrail::detail
