#include <storage/DataDirectory.h>

#include "Encoding.h"
#include "FileDescriptor.h"
#include "LogFile.h"

#include <absl/strings/str_cat.h>

#include <cassert>
#include <fcntl.h>
#include <filesystem>
#include <string_view>
#include <system_error>

namespace auburnrail {

namespace {

constexpr auto IDENTITY_FILE = "identity";
constexpr auto HARD_STATE_FILE = "hard-state";
constexpr auto SNAPSHOT_FILE = "snapshot";
constexpr auto LOG_FILE = "log";
constexpr auto IDENTITY_MAGIC = std::string_view("ARIDEN01");
constexpr auto HARD_STATE_MAGIC = std::string_view("ARHARD01");
constexpr auto SNAPSHOT_MAGIC = std::string_view("ARSNAP01");
constexpr auto INTEGER_BYTES = std::size_t(8);

/// Reads and verifies a file of the directory and returns its body, which must have at least
/// `fixedBytes`. `kNotFound` if the file does not exist.
auto loadBody(const std::string &path, std::string_view magic, std::size_t fixedBytes)
    -> absl::StatusOr<std::string>
{
    const auto content = detail::readFile(path);
    if (!content.ok())
        return content.status();
    auto body = detail::decodeFile(magic, *content, path);
    if (body.ok() && body->size() < fixedBytes)
        return detail::dataLossAt(path, content->size(), "the content is too short");
    return body;
}

auto loadIdentity(const std::string &directory) -> absl::StatusOr<Identity>
{
    const auto path = directory + "/" + IDENTITY_FILE;
    const auto body = loadBody(path, IDENTITY_MAGIC, 2 * INTEGER_BYTES);
    if (!body.ok())
        return body.status();
    const auto clusterBytes = detail::readUint64(*body, INTEGER_BYTES);
    const auto names = body->substr(2 * INTEGER_BYTES);
    if (clusterBytes > names.size())
        return detail::dataLossAt(path, INTEGER_BYTES, "the name length is out of range");
    return Identity{names.substr(0, clusterBytes), names.substr(clusterBytes),
                    detail::readUint64(*body, 0)};
}

auto loadHardState(const std::string &directory) -> absl::StatusOr<HardState>
{
    const auto body = loadBody(directory + "/" + HARD_STATE_FILE, HARD_STATE_MAGIC, INTEGER_BYTES);
    if (absl::IsNotFound(body.status()))
        return HardState();
    if (!body.ok())
        return body.status();
    return HardState{detail::readUint64(*body, 0), body->substr(INTEGER_BYTES)};
}

auto loadSnapshot(const std::string &directory) -> absl::StatusOr<std::optional<SnapshotRecord>>
{
    const auto body = loadBody(directory + "/" + SNAPSHOT_FILE, SNAPSHOT_MAGIC, 2 * INTEGER_BYTES);
    if (absl::IsNotFound(body.status()))
        return std::optional<SnapshotRecord>();
    if (!body.ok())
        return body.status();
    return std::optional(SnapshotRecord{detail::readUint64(*body, 0),
                                        detail::readUint64(*body, INTEGER_BYTES),
                                        body->substr(2 * INTEGER_BYTES)});
}

/// Drops the records before `keepFrom`, or all records if the log does not contain the last entry
/// that the snapshot covers and does not start right after it.
auto dropReplacedRecords(detail::LogFile &log, const SnapshotRecord &snapshot,
                         std::uint64_t keepFrom) -> absl::Status
{
    if (snapshot.index > 0 && log.termAt(snapshot.index) != snapshot.term
        && log.firstIndex() != snapshot.index + 1)
        return log.truncateFrom(0);
    return log.dropBefore(keepFrom);
}

} // namespace

struct DataDirectory::Impl
{
    std::string path;
    detail::FileDescriptor lock;
    Identity identity;
    HardState hardState;
    detail::LogFile log;
};

DataDirectory::DataDirectory(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

DataDirectory::DataDirectory(DataDirectory &&) noexcept = default;
auto DataDirectory::operator=(DataDirectory &&) noexcept -> DataDirectory & = default;
DataDirectory::~DataDirectory() = default;

auto DataDirectory::isFormatted(const std::string &path) -> bool
{
    auto error = std::error_code();
    return std::filesystem::exists(path + "/" + IDENTITY_FILE, error);
}

auto DataDirectory::format(const std::string &path, const Identity &identity) -> absl::Status
{
    auto error = std::error_code();
    std::filesystem::create_directories(path, error);
    const auto parent = std::filesystem::absolute(path, error).parent_path();
    const auto parentFile = detail::FileDescriptor::open(parent.string(), O_RDONLY | O_DIRECTORY);
    if (!parentFile.ok())
        return parentFile.status();
    if (auto status = parentFile->sync(); !status.ok())
        return status;
    for (auto entry = std::filesystem::directory_iterator(path, error);
         !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        // A crash during an earlier format may have left this temporary file.
        if (entry->path().filename() != std::string(IDENTITY_FILE) + ".tmp")
            return absl::AlreadyExistsError(entry->path().string() + ": the directory is in use");
    }
    if (error)
        return absl::ErrnoToStatus(error.value(), path + ": list failed");
    auto body = std::string();
    detail::appendUint64(body, identity.incarnation);
    detail::appendUint64(body, identity.cluster.size());
    body += identity.cluster + identity.member;
    return detail::replaceFile(path, IDENTITY_FILE, detail::encodeFile(IDENTITY_MAGIC, body));
}

auto DataDirectory::open(const std::string &path, const std::string &cluster,
                         const std::string &member) -> absl::StatusOr<DataDirectory>
{
    auto impl = std::make_unique<Impl>();
    impl->path = path;
    auto lock = detail::FileDescriptor::open(path, O_RDONLY | O_DIRECTORY);
    if (!lock.ok())
        return lock.status();
    if (auto status = lock->lockExclusively(); !status.ok())
        return status;
    impl->lock = std::move(*lock);
    auto identity = loadIdentity(path);
    if (!identity.ok())
        return identity.status();
    if (identity->cluster != cluster || identity->member != member) {
        return absl::FailedPreconditionError(absl::StrCat(
            path, "/", IDENTITY_FILE, ": belongs to member ", identity->member, " of cluster ",
            identity->cluster, ", not to member ", member, " of cluster ", cluster));
    }
    impl->identity = std::move(*identity);
    auto hardState = loadHardState(path);
    if (!hardState.ok())
        return hardState.status();
    impl->hardState = std::move(*hardState);
    auto snapshot = loadSnapshot(path);
    if (!snapshot.ok())
        return snapshot.status();
    auto log = detail::LogFile::open(path, LOG_FILE);
    if (!log.ok())
        return log.status();
    impl->log = std::move(*log);
    const auto covered = snapshot->has_value() ? (*snapshot)->index : 0;
    if (impl->log.lastIndex() >= impl->log.firstIndex() && impl->log.firstIndex() > covered + 1)
        return detail::dataLossAt(path + "/" + LOG_FILE, 0,
                                  "records between the snapshot and the log are missing");
    if (snapshot->has_value()) {
        if (auto status = dropReplacedRecords(impl->log, **snapshot, 0); !status.ok())
            return status;
    }
    return DataDirectory(std::move(impl));
}

auto DataDirectory::identity() const -> const Identity &
{
    return this->impl->identity;
}

auto DataDirectory::hardState() const -> const HardState &
{
    return this->impl->hardState;
}

auto DataDirectory::readSnapshot() const -> absl::StatusOr<std::optional<SnapshotRecord>>
{
    return loadSnapshot(this->impl->path);
}

auto DataDirectory::readLog() const -> absl::StatusOr<std::vector<LogRecord>>
{
    return this->impl->log.readAll();
}

auto DataDirectory::saveHardState(const HardState &state) -> absl::Status
{
    auto body = std::string();
    detail::appendUint64(body, state.term);
    body += state.vote;
    auto status = detail::replaceFile(this->impl->path, HARD_STATE_FILE,
                                      detail::encodeFile(HARD_STATE_MAGIC, body));
    if (status.ok())
        this->impl->hardState = state;
    return status;
}

auto DataDirectory::append(const std::vector<LogRecord> &records) -> absl::Status
{
    return this->impl->log.append(records);
}

auto DataDirectory::truncateFrom(std::uint64_t index) -> absl::Status
{
    return this->impl->log.truncateFrom(index);
}

auto DataDirectory::saveSnapshot(const SnapshotRecord &snapshot, std::uint64_t keepFrom)
    -> absl::Status
{
    auto body = std::string();
    detail::appendUint64(body, snapshot.index);
    detail::appendUint64(body, snapshot.term);
    body += snapshot.payload;
    auto status = detail::replaceFile(this->impl->path, SNAPSHOT_FILE,
                                      detail::encodeFile(SNAPSHOT_MAGIC, body));
    return status.ok() ? dropReplacedRecords(this->impl->log, snapshot, keepFrom) : status;
}

} // namespace auburnrail
