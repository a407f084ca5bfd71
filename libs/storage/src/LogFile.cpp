#include "LogFile.h"

#include "Encoding.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <fcntl.h>

namespace auburnrail::detail {

namespace {

constexpr auto LOG_MAGIC = std::string_view("ARLOG001");
constexpr auto RECORD_HEADER_BYTES = std::size_t(12);
constexpr auto RECORD_FIXED_BYTES = std::size_t(16);

auto encodeRecord(const LogRecord &record) -> std::string
{
    auto body = std::string();
    appendUint64(body, record.index);
    appendUint64(body, record.term);
    body += record.payload;
    auto encoded = std::string();
    appendUint32(encoded, static_cast<std::uint32_t>(body.size()));
    appendUint32(encoded, checksum(encoded));
    appendUint32(encoded, checksum(body));
    return encoded + body;
}

} // namespace

auto LogFile::open(const std::string &directory, const std::string &name) -> absl::StatusOr<LogFile>
{
    auto log = LogFile();
    log.directory = directory;
    log.name = name;
    auto content = readFile(log.path());
    if (absl::IsNotFound(content.status())) {
        if (auto status = replaceFile(directory, name, LOG_MAGIC); !status.ok())
            return status;
        content = std::string(LOG_MAGIC);
    }
    if (!content.ok())
        return content.status();
    const auto end = log.scan(*content, nullptr);
    if (!end.ok())
        return end.status();
    auto file = FileDescriptor::open(log.path(), O_RDWR);
    if (!file.ok())
        return file.status();
    log.file = std::move(*file);
    log.size = *end;
    if (*end < content->size()) {
        if (auto status = log.file.resize(*end); !status.ok())
            return status;
        if (auto status = log.file.sync(); !status.ok())
            return status;
    }
    return log;
}

auto LogFile::scan(std::string_view content, std::vector<LogRecord> *records)
    -> absl::StatusOr<std::size_t>
{
    this->places.clear();
    if (content.substr(0, LOG_MAGIC.size()) != LOG_MAGIC)
        return dataLossAt(this->path(), 0, "the file type is wrong");
    // A power loss may leave a file at its new length with zeros in place of the last bytes.
    const auto zerosFrom = content.find_last_not_of('\0') + 1;
    auto offset = LOG_MAGIC.size();
    while (offset < content.size()) {
        const auto rest = content.substr(offset);
        const auto headerEnd = offset + RECORD_HEADER_BYTES;
        if (rest.size() < RECORD_HEADER_BYTES || zerosFrom <= offset)
            return offset;
        const auto length = readUint32(rest, 0);
        if (readUint32(rest, 4) != checksum(rest.substr(0, 4)) || length < RECORD_FIXED_BYTES) {
            if (zerosFrom < headerEnd)
                return offset;
            return dataLossAt(this->path(), offset, "the record header is damaged");
        }
        if (rest.size() < RECORD_HEADER_BYTES + length)
            return offset;
        const auto body = rest.substr(RECORD_HEADER_BYTES, length);
        if (readUint32(rest, 8) != checksum(body)) {
            if (zerosFrom < headerEnd + length)
                return offset;
            return dataLossAt(this->path(), offset, "the record checksum does not match");
        }
        const auto index = readUint64(body, 0);
        const auto term = readUint64(body, 8);
        if (this->places.empty())
            this->first = index;
        else if (index != this->lastIndex() + 1)
            return dataLossAt(this->path(), offset, "the record index does not continue the log");
        this->places.push_back({offset, term});
        if (records != nullptr)
            records->push_back({index, term, std::string(body.substr(RECORD_FIXED_BYTES))});
        offset += RECORD_HEADER_BYTES + length;
    }
    return offset;
}

auto LogFile::readAll() const -> absl::StatusOr<std::vector<LogRecord>>
{
    const auto content = this->file.readAll();
    if (!content.ok())
        return content.status();
    auto reader = LogFile();
    reader.directory = this->directory;
    reader.name = this->name;
    auto records = std::vector<LogRecord>();
    const auto end = reader.scan(*content, &records);
    if (!end.ok())
        return end.status();
    return records;
}

auto LogFile::append(const std::vector<LogRecord> &records) -> absl::Status
{
    if (records.empty())
        return absl::OkStatus();
    const auto expected = this->places.empty() ? records.front().index : this->lastIndex() + 1;
    auto added = std::vector<RecordPlace>();
    auto data = std::string();
    for (const auto &record : records) {
        if (record.index != expected + added.size()) {
            return absl::InvalidArgumentError(absl::StrCat(this->path(), ": record ", record.index,
                                                           " does not continue the log, expected ",
                                                           expected + added.size()));
        }
        added.push_back({this->size + data.size(), record.term});
        data += encodeRecord(record);
    }
    if (auto status = this->file.writeAt(this->size, data); !status.ok())
        return status;
    if (auto status = this->file.sync(); !status.ok())
        return status;
    if (this->places.empty())
        this->first = expected;
    this->places.insert(this->places.end(), added.begin(), added.end());
    this->size += data.size();
    return absl::OkStatus();
}

auto LogFile::truncateFrom(std::uint64_t index) -> absl::Status
{
    if (this->places.empty() || index > this->lastIndex())
        return absl::OkStatus();
    const auto kept = index <= this->first ? 0 : index - this->first;
    const auto end = this->places[kept].offset;
    if (auto status = this->file.resize(end); !status.ok())
        return status;
    if (auto status = this->file.sync(); !status.ok())
        return status;
    this->places.resize(kept);
    this->size = end;
    return absl::OkStatus();
}

auto LogFile::dropBefore(std::uint64_t index) -> absl::Status
{
    if (this->places.empty() || index <= this->first)
        return absl::OkStatus();
    auto content = this->file.readAll();
    if (!content.ok())
        return content.status();
    const auto dropped = std::min<std::uint64_t>(index - this->first, this->places.size());
    const auto start = dropped < this->places.size() ? this->places[dropped].offset : this->size;
    const auto kept = std::string(LOG_MAGIC) + content->substr(start, this->size - start);
    if (auto status = replaceFile(this->directory, this->name, kept); !status.ok())
        return status;
    auto reopened = LogFile::open(this->directory, this->name);
    if (!reopened.ok())
        return reopened.status();
    *this = std::move(*reopened);
    return absl::OkStatus();
}

auto LogFile::firstIndex() const -> std::uint64_t
{
    return this->first;
}

auto LogFile::lastIndex() const -> std::uint64_t
{
    return this->first + this->places.size() - 1;
}

auto LogFile::termAt(std::uint64_t index) const -> std::optional<std::uint64_t>
{
    if (index < this->first || index - this->first >= this->places.size())
        return std::nullopt;
    return this->places[index - this->first].term;
}

auto LogFile::path() const -> std::string
{
    return this->directory + "/" + this->name;
}

} // namespace auburnrail::detail
