#ifndef AUBURNRAIL_SESSION_READPLAN_H
#define AUBURNRAIL_SESSION_READPLAN_H

#include <session/ReadCandidate.h>
#include <session/ReadNeed.h>
#include <session/ReadTarget.h>

#include <span>
#include <string>
#include <vector>

namespace auburnrail {

/// Where a read goes, and which replicas may serve it.
struct ReadPlan
{
    /// Longest wait for a replica. Above the usual replication lag, below the time of a primary
    /// read from another region (12 ms one way), so that a wait costs no more than the alternative.
    static constexpr auto WAIT_LIMIT_MS = std::chrono::milliseconds(20);

    /// Replicas that miss more entries than this are not worth the wait.
    static constexpr auto WAIT_MAX_ENTRIES = std::uint64_t{64};

    ReadTarget target = ReadTarget::Primary;
    std::vector<std::string> endpoints; ///< Replicas to choose from; empty for Primary.
};

/// Plans a read. An unknown position sends the read to the primary, unless the caller sent no token
/// and stated an age: then a replica within that age will do.
[[nodiscard]] auto planRead(const ReadNeed &need, std::span<const ReadCandidate> replicas,
                            TimePoint now) -> ReadPlan;

} // namespace auburnrail

#endif
