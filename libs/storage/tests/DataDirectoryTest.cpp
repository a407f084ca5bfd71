#include <storage/DataDirectory.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace auburnrail {

namespace {

/// Scratch directory that is removed at the end of a test.
class Scratch
{
public:
    Scratch()
    {
        auto name = (std::filesystem::temp_directory_path() / "auburnrail-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        this->root = name;
    }
    ~Scratch()
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

/// Formats `path` and writes each kind of file.
auto fill(const std::string &path) -> void
{
    REQUIRE(DataDirectory::format(path, IDENTITY).ok());
    auto directory = openDirectory(path);
    REQUIRE(directory.ok());
    REQUIRE(directory->saveHardState({3, "control-2"}).ok());
    REQUIRE(directory->append({{1, 1, "one"}, {2, 1, ""}, {3, 2, "three"}}).ok());
    REQUIRE(directory->saveSnapshot({2, 1, "state"}, 2).ok());
}

} // namespace

// Guards against state that is lost by a restart.
TEST_CASE("everything written is there after reopening")
{
    const auto scratch = Scratch();
    fill(scratch.path("data"));
    auto directory = openDirectory(scratch.path("data"));
    REQUIRE(directory.ok());
    CHECK(directory->identity() == IDENTITY);
    CHECK(directory->hardState() == HardState{3, "control-2"});
    CHECK(**directory->readSnapshot() == SnapshotRecord{2, 1, "state"});
    CHECK(*directory->readLog() == std::vector<LogRecord>{{2, 1, ""}, {3, 2, "three"}});
    REQUIRE(directory->truncateFrom(3).ok());
    REQUIRE(directory->append({{3, 4, "other"}}).ok());
    CHECK(directory->readLog()->back() == LogRecord{3, 4, "other"});
    CHECK(openDirectory(scratch.path("data")).status().code()
          == absl::StatusCode::kFailedPrecondition);
}

// Guards against a restart that fails, or keeps half a record, after a crash during an append.
TEST_CASE("a torn tail is cut at every byte offset, and a zero-filled one")
{
    const auto scratch = Scratch();
    const auto path = scratch.path("data");
    fill(path);
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

// Guards against damage that is taken for a torn tail or goes unnoticed.
TEST_CASE("a flipped byte anywhere is refused with file and offset")
{
    const auto scratch = Scratch();
    const auto path = scratch.path("data");
    fill(path);
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

// Guards against a member that starts on the data of another one or on no directory.
TEST_CASE("foreign and unusable directories are refused")
{
    const auto scratch = Scratch();
    fill(scratch.path("data"));
    struct Case
    {
        std::string path;
        std::string cluster;
        std::string member;
        absl::StatusCode code;
    };
    const auto cases = std::vector<Case>{
        {scratch.path("data"), "other", "control-1", absl::StatusCode::kFailedPrecondition},
        {scratch.path("data"), "fleet", "control-2", absl::StatusCode::kFailedPrecondition},
        {scratch.path("absent"), "fleet", "control-1", absl::StatusCode::kNotFound},
    };
    for (const auto &row : cases) {
        CHECK(DataDirectory::open(row.path, row.cluster, row.member).status().code() == row.code);
    }
    CHECK(DataDirectory::format(scratch.path("data"), IDENTITY).code()
          == absl::StatusCode::kAlreadyExists);
    // A file in the place of the directory can't be written to by any user, root included.
    writeBytes(scratch.path("file"), "x");
    CHECK_FALSE(DataDirectory::format(scratch.path("file"), IDENTITY).ok());
    CHECK_FALSE(DataDirectory::format("/proc/auburnrail", IDENTITY).ok());
}

// Guards against a log that contradicts an installed snapshot after a crash between the two writes.
TEST_CASE("a log that does not hold the snapshot's last entry is dropped")
{
    const auto scratch = Scratch();
    const auto path = scratch.path("data");
    fill(path);
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
