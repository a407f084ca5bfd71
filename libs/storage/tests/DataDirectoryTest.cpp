#include <storage/DataDirectory.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>

namespace auburnrail {

namespace {

/// Temporary directory that is removed at the end of a test.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        auto name = (std::filesystem::temp_directory_path() / "auburnrail-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        this->root = name;
    }
    ~TemporaryDirectory()
    {
        std::filesystem::remove_all(this->root);
    }
    [[nodiscard]] auto path(const std::string &name) const -> std::string
    {
        return this->root + "/" + name;
    }

private:
    std::string root;
};

auto readBytes(const std::string &path) -> std::string
{
    auto file = std::ifstream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

auto writeBytes(const std::string &path, const std::string &bytes) -> void
{
    std::ofstream(path, std::ios::binary) << bytes;
}

const auto IDENTITY = Identity{"fleet", "control-1", 7};

auto openDirectory(const std::string &path) -> absl::StatusOr<DataDirectory>
{
    return DataDirectory::open(path, IDENTITY.cluster, IDENTITY.member);
}

/// Formats `path` and writes every kind of file.
auto writeSampleData(const std::string &path) -> void
{
    REQUIRE(DataDirectory::format(path, IDENTITY).ok());
    auto directory = openDirectory(path);
    REQUIRE(directory.ok());
    REQUIRE(directory->saveHardState({3, "control-2"}).ok());
    REQUIRE(directory->append({{1, 1, "one"}, {2, 1, ""}, {3, 2, "three"}}).ok());
    REQUIRE(directory->saveSnapshot({2, 1, "state"}, 2).ok());
}

} // namespace

// Guards against state that is lost in a restart.
TEST_CASE("all written state is read back after reopening")
{
    const auto temporary = TemporaryDirectory();
    writeSampleData(temporary.path("data"));
    auto directory = openDirectory(temporary.path("data"));
    REQUIRE(directory.ok());
    CHECK(directory->identity() == IDENTITY);
    CHECK(directory->hardState() == HardState{3, "control-2"});
    CHECK(**directory->readSnapshot() == SnapshotRecord{2, 1, "state"});
    CHECK(*directory->readLog() == std::vector<LogRecord>{{2, 1, ""}, {3, 2, "three"}});
    REQUIRE(directory->truncateFrom(3).ok());
    REQUIRE(directory->append({{3, 4, "other"}}).ok());
    CHECK(directory->readLog()->back() == LogRecord{3, 4, "other"});
    CHECK(openDirectory(temporary.path("data")).status().code()
          == absl::StatusCode::kFailedPrecondition);
}

// Guards against a restart that fails or keeps an incomplete record after a crash during an append.
TEST_CASE("an incomplete last record of any length is truncated, and a zero-filled one")
{
    const auto temporary = TemporaryDirectory();
    const auto path = temporary.path("data");
    writeSampleData(path);
    const auto before = readBytes(path + "/log");
    {
        auto directory = openDirectory(path);
        REQUIRE(directory->append({{4, 2, "a longer payload"}}).ok());
    }
    const auto after = readBytes(path + "/log");
    for (auto size = before.size(); size <= after.size(); ++size) {
        for (const auto zeroFilled : {false, true}) {
            if (zeroFilled && size != before.size())
                continue;
            INFO("size " << size << " zero-filled " << zeroFilled);
            writeBytes(path + "/log",
                       after.substr(0, size) + std::string(zeroFilled ? 100 : 0, '\0'));
            auto directory = openDirectory(path);
            REQUIRE(directory.ok());
            REQUIRE(directory->readLog()->size() == (size == after.size() ? 3 : 2));
            REQUIRE(directory->append({{size == after.size() ? 5U : 4U, 9, "next"}}).ok());
            REQUIRE(directory->readLog()->back().payload == "next");
        }
    }
}

// Guards against a member that does not start again after a power loss, or keeps part of a record.
TEST_CASE("records torn at any byte are read back as a prefix, also when the rest is zeros")
{
    const auto temporary = TemporaryDirectory();
    const auto path = temporary.path("data");
    writeSampleData(path);
    const auto acknowledged = readBytes(path + "/log").size();
    const auto added = std::vector<LogRecord>{{4, 2, std::string("ends in zero\0", 13)},
                                              {5, 2, "next"},
                                              {6, 3, std::string("\0\0\0", 3)}};
    {
        auto directory = openDirectory(path);
        REQUIRE(directory->append(added).ok());
    }
    const auto whole = readBytes(path + "/log");
    for (auto written = acknowledged; written <= whole.size(); ++written) {
        for (const auto zeroFilled : {false, true}) {
            INFO("written " << written << " zero-filled " << zeroFilled);
            writeBytes(path + "/log",
                       whole.substr(0, written)
                           + std::string(zeroFilled ? whole.size() - written : 0, '\0'));
            auto directory = openDirectory(path);
            REQUIRE(directory.ok());
            const auto records = *directory->readLog();
            REQUIRE(records.size() >= 2);
            REQUIRE(records.size() <= 2 + added.size());
            for (auto index = std::size_t(2); index < records.size(); ++index)
                REQUIRE(records[index] == added[index - 2]);
            REQUIRE(directory->append({{records.back().index + 1, 9, "more"}}).ok());
        }
    }
}

// Guards against a member whose state on disk is lost or doubled when a write has to be repeated.
TEST_CASE("a refused write leaves the state before it, and succeeds when it is repeated")
{
    const auto temporary = TemporaryDirectory();
    const auto path = temporary.path("data");
    writeSampleData(path);
    struct Case
    {
        std::string blocked; ///< File whose replacement fails while a directory has its name.
        std::function<auto(DataDirectory &)->absl::Status> write;
    };
    const auto cases = std::vector<Case>{
        {"hard-state.tmp",
         [](auto &target) {
             return target.saveHardState({9, "control-3"});
         }},
        {"snapshot.tmp",
         [](auto &target) {
             return target.saveSnapshot({3, 2, "later"}, 3);
         }},
        {"log.tmp",
         [](auto &target) {
             return target.saveSnapshot({3, 2, "later"}, 4);
         }},
    };
    for (const auto &row : cases) {
        INFO(row.blocked);
        auto directory = openDirectory(path);
        REQUIRE(directory.ok());
        const auto before = *directory->readLog();
        std::filesystem::create_directory(path + "/" + row.blocked);
        REQUIRE_FALSE(row.write(*directory).ok());
        REQUIRE_FALSE(row.write(*directory).ok());
        REQUIRE(*directory->readLog() == before);
        std::filesystem::remove(path + "/" + row.blocked);
        REQUIRE(row.write(*directory).ok());
    }
    auto directory = openDirectory(path);
    REQUIRE(directory.ok());
    CHECK(directory->hardState() == HardState{9, "control-3"});
    CHECK(**directory->readSnapshot() == SnapshotRecord{3, 2, "later"});
    CHECK(directory->readLog()->empty());
    CHECK(directory->append({{4, 9, "next"}}).ok());
}

// Guards against damage that is mistaken for an incomplete last record or goes unnoticed.
TEST_CASE("a changed byte anywhere is reported with file and offset")
{
    const auto temporary = TemporaryDirectory();
    const auto path = temporary.path("data");
    writeSampleData(path);
    for (const auto *name : {"identity", "hard-state", "snapshot", "log"}) {
        const auto file = path + "/" + name;
        const auto bytes = readBytes(file);
        for (auto offset = std::size_t(0); offset < bytes.size(); ++offset) {
            INFO(name << " offset " << offset);
            auto damaged = bytes;
            damaged[offset] = static_cast<char>(damaged[offset] ^ 0x40);
            writeBytes(file, damaged);
            const auto status = openDirectory(path).status();
            REQUIRE(status.code() == absl::StatusCode::kDataLoss);
            REQUIRE(status.message().find(name) != absl::string_view::npos);
            REQUIRE(status.message().find("offset") != absl::string_view::npos);
        }
        writeBytes(file, bytes);
    }
    CHECK(openDirectory(path).ok());
}

// Guards against a member that starts on the data of another member or without a usable directory.
TEST_CASE("directories of other members and unusable directories are refused")
{
    const auto temporary = TemporaryDirectory();
    writeSampleData(temporary.path("data"));
    struct Case
    {
        std::string path;
        std::string cluster;
        std::string member;
        absl::StatusCode code;
    };
    const auto cases = std::vector<Case>{
        {temporary.path("data"), "other", "control-1", absl::StatusCode::kFailedPrecondition},
        {temporary.path("data"), "fleet", "control-2", absl::StatusCode::kFailedPrecondition},
        {temporary.path("absent"), "fleet", "control-1", absl::StatusCode::kNotFound},
    };
    for (const auto &row : cases) {
        CHECK(DataDirectory::open(row.path, row.cluster, row.member).status().code() == row.code);
    }
    CHECK(DataDirectory::format(temporary.path("data"), IDENTITY).code()
          == absl::StatusCode::kAlreadyExists);
    // No user, not even root, can create files below a path that is a regular file.
    writeBytes(temporary.path("file"), "x");
    CHECK_FALSE(DataDirectory::format(temporary.path("file"), IDENTITY).ok());
    CHECK_FALSE(DataDirectory::format("/proc/auburnrail", IDENTITY).ok());
}

// Guards against a log that contradicts an installed snapshot after a crash between the two writes.
TEST_CASE("a log without the last entry that the snapshot covers is dropped")
{
    const auto temporary = TemporaryDirectory();
    const auto path = temporary.path("data");
    writeSampleData(path);
    const auto log = readBytes(path + "/log");
    {
        auto directory = openDirectory(path);
        REQUIRE(directory->saveSnapshot({9, 5, "later"}, 1).ok());
    }
    writeBytes(path + "/log", log);
    auto directory = openDirectory(path);
    REQUIRE(directory.ok());
    CHECK(directory->readLog()->empty());
    CHECK(directory->append({{10, 5, "next"}}).ok());
}

} // namespace auburnrail
