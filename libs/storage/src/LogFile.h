#ifndef AUBURNRAIL_STORAGE_LOGFILE_H
#define AUBURNRAIL_STORAGE_LOGFILE_H

#include "FileDescriptor.h"

#include <storage/LogRecord.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail::detail {

/// Append-only file of records. A record consists of a header (body length, checksum of the length,
/// checksum of the body) and a body (index, term, payload). The length has its own checksum, so
/// that a damaged length in the middle of the file is not mistaken for an incomplete last record.
class LogFile
{
public:
    /// Opens or creates `name` in `directory`, checks every record and truncates an incomplete last
    /// record, also one whose end is filled with zeros.
    [[nodiscard]] static auto open(const std::string &directory, const std::string &name)
        -> absl::StatusOr<LogFile>;

    [[nodiscard]] auto readAll() const -> absl::StatusOr<std::vector<LogRecord>>;
    [[nodiscard]] auto append(const std::vector<LogRecord> &records) -> absl::Status;
    [[nodiscard]] auto truncateFrom(std::uint64_t index) -> absl::Status;

    /// Removes the records before `index`: all records if `index` is after the last one.
    [[nodiscard]] auto dropBefore(std::uint64_t index) -> absl::Status;

    /// First and last index. The last index is the first index - 1 if the log is empty.
    [[nodiscard]] auto firstIndex() const -> std::uint64_t;
    [[nodiscard]] auto lastIndex() const -> std::uint64_t;

    /// Term of the record at `index`; empty if the log does not contain it.
    [[nodiscard]] auto termAt(std::uint64_t index) const -> std::optional<std::uint64_t>;

private:
    struct RecordPlace
    {
        std::uint64_t offset;
        std::uint64_t term;
    };

    /// Checks the records in `content` and rebuilds `places`; also copies the records to `records`
    /// unless it is null. Returns the offset at which the complete records end. `kDataLoss` if a
    /// record is damaged.
    [[nodiscard]] auto scan(std::string_view content, std::vector<LogRecord> *records)
        -> absl::StatusOr<std::size_t>;
    [[nodiscard]] auto path() const -> std::string;

    std::string directory;
    std::string name;
    FileDescriptor file;
    std::uint64_t first = 1;
    std::uint64_t size = 0;
    std::vector<RecordPlace> places;
};

} // namespace auburnrail::detail

#endif
