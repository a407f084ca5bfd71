#ifndef AUBURNRAIL_SESSION_READPLAN_H
#define AUBURNRAIL_SESSION_READPLAN_H

#include <session/ReadCandidate.h>
#include <session/ReadRequirements.h>
#include <session/ReadTarget.h>

#include <span>
#include <string>
#include <vector>

namespace auburnrail {

/// Where a read goes, and which replicas may serve it.
struct ReadPlan
{
    /// Longest wait for a replica to catch up. It exceeds the usual replication lag, but not the
    /// round trip to a primary in another region (12 ms one way), so that waiting costs no more
    /// than reading from the primary.
    static constexpr auto WAIT_LIMIT_MS = std::chrono::milliseconds(20);

    /// A read does not wait for a replica that lacks more log entries than this.
    static constexpr auto MAX_ENTRIES_BEHIND = std::uint64_t{64};

    ReadTarget target = ReadTarget::Primary;
    std::vector<std::string> endpoints; ///< Replicas to choose from; empty when target is Primary.
};

/// Plans a read. A read with an unknown position goes to the primary, unless the caller sent no
/// token and set a maximum staleness: then any replica within that staleness may serve it.
[[nodiscard]] auto planRead(const ReadRequirements &requirements,
                            std::span<const ReadCandidate> replicas, TimePoint now) -> ReadPlan;

} // namespace auburnrail

#endif
