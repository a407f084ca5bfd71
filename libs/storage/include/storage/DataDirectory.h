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
/// synced before the call returns, file and directory. After a failed write, part of it may be on
/// disk: it has to be repeated until it succeeds, before any other write. A process that ends
/// meanwhile finds the state before that write, or a prefix of the records that it appended.
/// Error messages contain the file name and, for damaged content (`kDataLoss`), the offset in
/// bytes. Not thread-safe: the owner serializes calls.
class DataDirectory
{
public:
    /// Whether `path` contains an identity file.
    [[nodiscard]] static auto isFormatted(const std::string &path) -> bool;

    /// Writes `identity` to an empty directory, which is created if it does not exist.
    /// `kAlreadyExists` if the directory contains files.
    [[nodiscard]] static auto format(const std::string &path, const Identity &identity)
        -> absl::Status;

    /// Opens the directory and checks all files. `kFailedPrecondition` if it belongs to another
    /// cluster or member, or is in use by another process; `kDataLoss` if a file is damaged. An
    /// incomplete last log record, also one whose end is filled with zeros, is truncated: its write
    /// was never acknowledged.
    [[nodiscard]] static auto open(const std::string &path, const std::string &cluster,
                                   const std::string &member) -> absl::StatusOr<DataDirectory>;

    DataDirectory(DataDirectory &&) noexcept;
    auto operator=(DataDirectory &&) noexcept -> DataDirectory &;
    ~DataDirectory();

    [[nodiscard]] auto identity() const -> const Identity &;
    [[nodiscard]] auto hardState() const -> const HardState &;

    /// Reads the snapshot file; empty if there is none.
    [[nodiscard]] auto readSnapshot() const -> absl::StatusOr<std::optional<SnapshotRecord>>;

    /// Reads the whole log.
    [[nodiscard]] auto readLog() const -> absl::StatusOr<std::vector<LogRecord>>;

    [[nodiscard]] auto saveHardState(const HardState &state) -> absl::Status;

    /// Appends records. Their indexes must continue the log.
    [[nodiscard]] auto append(const std::vector<LogRecord> &records) -> absl::Status;

    /// Removes the records from `index` on.
    [[nodiscard]] auto truncateFrom(std::uint64_t index) -> absl::Status;

    /// Replaces the snapshot, then drops the log records before `keepFrom`, or all records if the
    /// log does not contain the last entry that the snapshot covers. If the process crashes between
    /// the two writes, `open` drops a log that contradicts the snapshot.
    [[nodiscard]] auto saveSnapshot(const SnapshotRecord &snapshot, std::uint64_t keepFrom)
        -> absl::Status;

private:
    struct Impl;
    explicit DataDirectory(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
