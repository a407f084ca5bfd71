#ifndef AUBURNRAIL_CONTROL_FAILOVERLOG_H
#define AUBURNRAIL_CONTROL_FAILOVERLOG_H

#include <failover/FailoverRecord.h>

#include <core/RankedMutex.h>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace auburnrail {

/// The last failovers of this control member, oldest first. Safe from any thread.
class FailoverLog
{
public:
    static constexpr auto CAPACITY = std::size_t(256);

    auto add(FailoverRecord record) -> void;

    /// Records of the group, or those that name the endpoint, with this name; all when it is empty.
    [[nodiscard]] auto find(const std::string &name) -> std::vector<FailoverRecord>;

private:
    RankedMutex mutex{LockRank::ExplainLog};
    std::deque<FailoverRecord> records ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
