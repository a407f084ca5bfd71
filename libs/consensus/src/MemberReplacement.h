#ifndef AUBURNRAIL_CONSENSUS_MEMBERREPLACEMENT_H
#define AUBURNRAIL_CONSENSUS_MEMBERREPLACEMENT_H

#include <consensus/Configuration.h>
#include <consensus/ConsensusSettings.h>
#include <consensus/detail/ProgressTable.h>

#include <optional>

namespace auburnrail::detail {

/// The next configuration that a leader should propose so that its learners become voters, or
/// nothing. A learner qualifies when it answers and has caught up to near `commitIndex`. If its
/// name belongs to a voter with another incarnation that does not answer, that voter is removed
/// first. Nothing is proposed unless a majority of the proposed voters answers: a change that can't
/// be committed would block all further ones.
[[nodiscard]] auto nextConfiguration(const Configuration &present, const ProgressTable &table,
                                     LogIndex commitIndex, const ConsensusSettings &settings,
                                     TimePoint now) -> std::optional<Configuration>;

} // namespace auburnrail::detail

#endif
