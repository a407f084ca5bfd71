#ifndef AUBURNRAIL_STORAGE_FILEDESCRIPTOR_H
#define AUBURNRAIL_STORAGE_FILEDESCRIPTOR_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnrail::detail {

/// Owns the descriptor of an open file or directory. Error messages contain the file name and the
/// failed operation.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    FileDescriptor(FileDescriptor &&other) noexcept;
    auto operator=(FileDescriptor &&other) noexcept -> FileDescriptor &;
    ~FileDescriptor();

    /// Opens `path`. `flags` are those of open(2); O_CLOEXEC is added.
    [[nodiscard]] static auto open(const std::string &path, int flags)
        -> absl::StatusOr<FileDescriptor>;

    [[nodiscard]] auto readAll() const -> absl::StatusOr<std::string>;
    [[nodiscard]] auto writeAt(std::uint64_t offset, std::string_view data) const -> absl::Status;
    [[nodiscard]] auto resize(std::uint64_t size) const -> absl::Status;
    [[nodiscard]] auto sync() const -> absl::Status;

    /// Takes an exclusive advisory lock on the file. `kFailedPrecondition` if another process holds
    /// it; does not wait.
    [[nodiscard]] auto lockExclusively() const -> absl::Status;

private:
    [[nodiscard]] auto operationError(std::string_view operation) const -> absl::Status;

    int descriptor = -1;
    std::string path;
};

/// Atomically replaces a file: writes a temporary file and renames it. Syncs file and directory.
[[nodiscard]] auto replaceFile(const std::string &directory, const std::string &name,
                               std::string_view content) -> absl::Status;

/// Reads a whole file. `kNotFound` if it does not exist.
[[nodiscard]] auto readFile(const std::string &path) -> absl::StatusOr<std::string>;

} // namespace auburnrail::detail

#endif
