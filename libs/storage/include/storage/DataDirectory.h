#ifndef AUBURNRAIL_STORAGE_DATADIRECTORY_H
#define AUBURNRAIL_STORAGE_DATADIRECTORY_H

#include <storage/HardState.h>
#include <storage/Identity.h>
#include <storage/LogRecord.h>
#include <storage/SnapshotRecord.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// The durable state of one control member: identity, hard state, snapshot and log. Every write is
/// synced, file and directory, before the call returns. After a failed write the object refuses
/// further writes, because the content of the disk is then unknown.
/// Errors name the file and, for damaged content, the offset in bytes (`kDataLoss`).
/// Thread rule: one caller at a time.
class DataDirectory
{
public:
    /// Whether `path` holds an identity file.
    [[nodiscard]] static auto isFormatted(const std::string &path) -> bool;

    /// Prepares an empty or absent directory for `identity`. `kAlreadyExists` when it holds files.
    [[nodiscard]] static auto format(const std::string &path, const Identity &identity)
        -> absl::Status;

    /// Opens and checks everything in the directory. `kFailedPrecondition` when it belongs to
    /// another cluster or member or is in use by a process; `kDataLoss` when a file is damaged. An
    /// incomplete or zero-filled last log record was never reported as written and is cut off.
    [[nodiscard]] static auto open(const std::string &path, const std::string &cluster,
                                   const std::string &member) -> absl::StatusOr<DataDirectory>;

    DataDirectory(DataDirectory &&) noexcept;
    auto operator=(DataDirectory &&) noexcept -> DataDirectory &;
    ~DataDirectory();

    [[nodiscard]] auto identity() const -> const Identity &;
    [[nodiscard]] auto hardState() const -> const HardState &;

    /// Reads the snapshot file; empty when there is none.
    [[nodiscard]] auto readSnapshot() const -> absl::StatusOr<std::optional<SnapshotRecord>>;

    /// Reads the whole log.
    [[nodiscard]] auto readLog() const -> absl::StatusOr<std::vector<LogRecord>>;

    [[nodiscard]] auto saveHardState(const HardState &state) -> absl::Status;

    /// Appends records whose indexes continue the log.
    [[nodiscard]] auto append(const std::vector<LogRecord> &records) -> absl::Status;

    /// Removes the records from `index` on.
    [[nodiscard]] auto truncateFrom(std::uint64_t index) -> absl::Status;

    /// Replaces the snapshot, then drops the log records before `keepFrom`, or all of them when the
    /// log does not hold the snapshot's last entry. A crash in between is completed by `open`.
    [[nodiscard]] auto saveSnapshot(const SnapshotRecord &snapshot, std::uint64_t keepFrom)
        -> absl::Status;

private:
    struct Impl;
    explicit DataDirectory(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
