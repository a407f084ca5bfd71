#ifndef AUBURNRAIL_CONSENSUS_MEMBERREPLACEMENT_H
#define AUBURNRAIL_CONSENSUS_MEMBERREPLACEMENT_H

#include <consensus/Configuration.h>
#include <consensus/ConsensusSettings.h>
#include <consensus/detail/ProgressTable.h>

#include <optional>

namespace auburnrail::detail {

/// Returns the next configuration that a leader should propose to turn its learners into voters, or
/// nothing. A learner qualifies when it is responsive and at most `settings.maxLearnerLag` entries
/// behind `commitIndex`. If a voter has the learner's name with another incarnation, that voter is
/// removed first, once it is unresponsive. Nothing is proposed unless a majority of the proposed
/// voters is responsive: a change that can't be committed would block all further changes.
[[nodiscard]] auto nextConfiguration(const Configuration &present, const ProgressTable &table,
                                     LogIndex commitIndex, const ConsensusSettings &settings,
                                     TimePoint now) -> std::optional<Configuration>;

} // namespace auburnrail::detail

#endif
