#include <control/ConsensusDisk.h>

#include <wire/ConsensusCodec.h>

#include <consensus/ConsensusNode.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <cassert>
#include <memory>
#include <utility>

namespace auburnrail {

namespace {

/// Inverse of toString(MemberId).
auto parseMemberId(const std::string &text) -> absl::StatusOr<MemberId>
{
    const auto separator = text.rfind('/');
    auto incarnation = std::uint64_t(0);
    if (separator == std::string::npos
        || !absl::SimpleAtoi(text.substr(separator + 1), &incarnation))
        return absl::DataLossError(absl::StrCat("hard state: '", text, "' is not a member id"));
    return MemberId{text.substr(0, separator), incarnation};
}

auto toRecord(const Snapshot &snapshot) -> SnapshotRecord
{
    return {snapshot.index, snapshot.term, encodeConsensusSnapshot(snapshot)};
}

} // namespace

ConsensusDisk::ConsensusDisk(DataDirectory opened)
    : directory(std::move(opened))
{
}

auto ConsensusDisk::initialise(const std::string &path, const std::string &cluster,
                               const MemberName &member, const std::vector<MemberName> &members)
    -> absl::Status
{
    if (!DataDirectory::isFormatted(path)) {
        if (auto status = DataDirectory::format(path, {cluster, member, 0}); !status.ok())
            return status;
    }
    auto directory = DataDirectory::open(path, cluster, member);
    if (!directory.ok())
        return directory.status();
    const auto snapshot = directory->readSnapshot();
    if (!snapshot.ok())
        return snapshot.status();
    if (snapshot->has_value() || directory->identity().incarnation != 0
        || directory->hardState() != HardState())
        return absl::AlreadyExistsError(path + ": the member is initialised already");
    return directory->saveSnapshot(toRecord(ConsensusNode::bootstrap(members).snapshot), 0);
}

auto ConsensusDisk::open(const std::string &path, const std::string &cluster,
                         const MemberName &member, std::uint64_t newIncarnation)
    -> absl::StatusOr<ConsensusDisk>
{
    assert(newIncarnation != 0 && "newIncarnation must not be that of an initial member");
    if (!DataDirectory::isFormatted(path)) {
        if (auto status = DataDirectory::format(path, {cluster, member, newIncarnation});
            !status.ok())
            return status;
    }
    auto directory = DataDirectory::open(path, cluster, member);
    if (!directory.ok())
        return directory.status();
    return ConsensusDisk(std::move(*directory));
}

auto ConsensusDisk::self() const -> MemberId
{
    return {this->directory.identity().member, this->directory.identity().incarnation};
}

auto ConsensusDisk::restore() const -> absl::StatusOr<DurableState>
{
    auto state = DurableState();
    const auto &hardState = this->directory.hardState();
    state.election.term = hardState.term;
    if (!hardState.vote.empty()) {
        auto vote = parseMemberId(hardState.vote);
        if (!vote.ok())
            return vote.status();
        state.election.vote = std::move(*vote);
    }
    const auto record = this->directory.readSnapshot();
    if (!record.ok())
        return record.status();
    if (record->has_value()) {
        auto snapshot = decodeConsensusSnapshot((*record)->payload);
        if (!snapshot.ok())
            return snapshot.status();
        state.snapshot = std::move(*snapshot);
    }
    const auto records = this->directory.readLog();
    if (!records.ok())
        return records.status();
    if (!records->empty())
        state.firstIndex = records->front().index;
    for (const auto &logRecord : *records) {
        auto entry = decodeEntry(logRecord.payload);
        if (!entry.ok())
            return entry.status();
        state.entries.push_back(std::move(*entry));
    }
    return state;
}

auto ConsensusDisk::persist(const PersistBatch &batch) -> absl::Status
{
    auto status = absl::OkStatus();
    if (batch.election) {
        const auto &vote = batch.election->vote;
        status = this->directory.saveHardState(
            {batch.election->term, vote ? toString(*vote) : std::string()});
    }
    if (status.ok() && batch.snapshot)
        status = this->directory.saveSnapshot(toRecord(*batch.snapshot), batch.keepFrom);
    if (status.ok() && batch.truncateFrom)
        status = this->directory.truncateFrom(*batch.truncateFrom);
    if (!status.ok())
        return status;
    auto records = std::vector<LogRecord>();
    for (const auto &entry : batch.appended) {
        records.push_back({batch.firstAppended + records.size(), entry.term, encodeEntry(entry)});
    }
    return this->directory.append(records);
}

auto ConsensusDisk::toStore(ConsensusDisk disk) -> DurableStore
{
    const auto shared = std::make_shared<ConsensusDisk>(std::move(disk));
    return {
        .self = shared->self(),
        .restore = [shared] { return shared->restore(); },
        .persist = [shared](const PersistBatch &batch) { return shared->persist(batch); },
    };
}

} // namespace auburnrail
