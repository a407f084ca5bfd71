#include "FileDescriptor.h"

#include <absl/status/status.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace auburnrail::detail {

namespace {

constexpr auto READ_CHUNK_BYTES = std::size_t(65536);
constexpr auto NEW_FILE_MODE = 0640;

auto errnoStatus(const std::string &path, std::string_view operation) -> absl::Status
{
    const auto code = errno;
    return absl::ErrnoToStatus(code, path + ": " + std::string(operation) + " failed");
}

} // namespace

FileDescriptor::FileDescriptor(FileDescriptor &&other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
    , path(std::move(other.path))
{
}

auto FileDescriptor::operator=(FileDescriptor &&other) noexcept -> FileDescriptor &
{
    std::swap(this->descriptor, other.descriptor);
    std::swap(this->path, other.path);
    return *this;
}

FileDescriptor::~FileDescriptor()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

auto FileDescriptor::open(const std::string &path, int flags) -> absl::StatusOr<FileDescriptor>
{
    auto file = FileDescriptor();
    file.path = path;
    file.descriptor = ::open(path.c_str(), flags | O_CLOEXEC, NEW_FILE_MODE);
    if (file.descriptor < 0)
        return file.operationError("open");
    return file;
}

auto FileDescriptor::readAll() const -> absl::StatusOr<std::string>
{
    auto content = std::string();
    auto chunk = std::array<char, READ_CHUNK_BYTES>();
    while (true) {
        const auto count = ::pread(this->descriptor, chunk.data(), chunk.size(),
                                   static_cast<off_t>(content.size()));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return this->operationError("read");
        if (count == 0)
            return content;
        content.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

auto FileDescriptor::writeAt(std::uint64_t offset, std::string_view data) const -> absl::Status
{
    while (!data.empty()) {
        const auto count =
            ::pwrite(this->descriptor, data.data(), data.size(), static_cast<off_t>(offset));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return this->operationError("write");
        offset += static_cast<std::uint64_t>(count);
        data.remove_prefix(static_cast<std::size_t>(count));
    }
    return absl::OkStatus();
}

auto FileDescriptor::resize(std::uint64_t size) const -> absl::Status
{
    if (::ftruncate(this->descriptor, static_cast<off_t>(size)) != 0)
        return this->operationError("truncate");
    return absl::OkStatus();
}

auto FileDescriptor::sync() const -> absl::Status
{
    if (::fsync(this->descriptor) != 0)
        return this->operationError("sync");
    return absl::OkStatus();
}

auto FileDescriptor::lockExclusively() const -> absl::Status
{
    if (::flock(this->descriptor, LOCK_EX | LOCK_NB) != 0)
        return absl::FailedPreconditionError(this->path + ": in use by another process");
    return absl::OkStatus();
}

auto FileDescriptor::operationError(std::string_view operation) const -> absl::Status
{
    return errnoStatus(this->path, operation);
}

auto replaceFile(const std::string &directory, const std::string &name, std::string_view content)
    -> absl::Status
{
    const auto target = directory + "/" + name;
    const auto temporary = target + ".tmp";
    auto file = FileDescriptor::open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.ok())
        return file.status();
    if (auto status = file->writeAt(0, content); !status.ok())
        return status;
    if (auto status = file->sync(); !status.ok())
        return status;
    if (std::rename(temporary.c_str(), target.c_str()) != 0)
        return errnoStatus(target, "rename");
    const auto parent = FileDescriptor::open(directory, O_RDONLY | O_DIRECTORY);
    return parent.ok() ? parent->sync() : parent.status();
}

auto readFile(const std::string &path) -> absl::StatusOr<std::string>
{
    const auto file = FileDescriptor::open(path, O_RDONLY);
    if (!file.ok())
        return file.status();
    return file->readAll();
}

} // namespace auburnrail::detail
