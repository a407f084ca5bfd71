#ifndef AUBURNRAIL_STORAGE_FILEDESCRIPTOR_H
#define AUBURNRAIL_STORAGE_FILEDESCRIPTOR_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnrail::detail {

/// Owns one open file or directory. Errors name the file and the failed operation.
class FileDescriptor
{
public:
    FileDescriptor() = default;
    FileDescriptor(FileDescriptor &&other) noexcept;
    auto operator=(FileDescriptor &&other) noexcept -> FileDescriptor &;
    ~FileDescriptor();

    /// `flags` as for open(2).
    [[nodiscard]] static auto open(const std::string &path, int flags)
        -> absl::StatusOr<FileDescriptor>;

    [[nodiscard]] auto readAll() const -> absl::StatusOr<std::string>;
    [[nodiscard]] auto writeAt(std::uint64_t offset, std::string_view data) const -> absl::Status;
    [[nodiscard]] auto resize(std::uint64_t size) const -> absl::Status;
    [[nodiscard]] auto sync() const -> absl::Status;

    /// Takes the exclusive advisory lock without waiting.
    [[nodiscard]] auto lockExclusively() const -> absl::Status;

private:
    [[nodiscard]] auto fault(std::string_view operation) const -> absl::Status;

    int descriptor = -1;
    std::string path;
};

/// Replaces the file by way of a temporary file and a rename, and syncs file and directory.
[[nodiscard]] auto replaceFile(const std::string &directory, const std::string &name,
                               std::string_view content) -> absl::Status;

/// Reads a whole file; `kNotFound` when it is absent.
[[nodiscard]] auto readFile(const std::string &path) -> absl::StatusOr<std::string>;

} // namespace auburnrail::detail

#endif
