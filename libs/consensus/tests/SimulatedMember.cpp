#include "SimulatedMember.h"

#include <consensus/detail/ReplicatedLog.h>

namespace auburnrail::testing {

auto SimulatedMember::persist(const PersistBatch &batch) -> absl::Status
{
    if (!this->diskFault.ok())
        return this->diskFault;
    if (batch.election)
        this->disk.election = *batch.election;
    auto log = detail::ReplicatedLog(this->disk.snapshot, this->disk.firstIndex,
                                     std::move(this->disk.entries));
    if (batch.snapshot)
        log.replaceSnapshot(*batch.snapshot, batch.keepFrom);
    if (batch.truncateFrom)
        log.truncateFrom(*batch.truncateFrom);
    for (const auto &entry : batch.appended)
        log.append(entry);
    this->disk.snapshot = log.snapshot();
    this->disk.firstIndex = log.firstIndex();
    this->disk.entries.clear();
    for (auto index = log.firstIndex(); index <= log.lastIndex(); ++index)
        this->disk.entries.push_back(log.at(index));
    return absl::OkStatus();
}

} // namespace auburnrail::testing
