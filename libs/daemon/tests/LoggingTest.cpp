#include <daemon/Logging.h>

#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>
#include <tuple>

namespace auburnrail {

namespace {

constexpr auto EXIT_DONE = 0;
constexpr auto LINES = 3000;
constexpr auto TIME_LIMIT_MS = 10000; // Far more than the lines take.

/// Runs in a process of its own, because logging is set up once a process. Writes to `done` when
/// all lines were logged.
[[noreturn]] auto logIntoFullPipe(int writeEnd, int done) -> void
{
    dup2(writeEnd, STDOUT_FILENO);
    setUpLogging(LogLevel::Info);
    const auto text = std::string(1000, 'x');
    for (auto i = 0; i < LINES; ++i)
        logLine(LogLevel::Warning, "test", text);
    std::ignore = write(done, "x", 1);
    while (true)
        pause();
}

} // namespace

// Guards against requests that wait for a reader of the logs.
TEST_CASE("logging does not wait for a reader that takes nothing")
{
    auto ends = std::array<int, 2>();
    auto done = std::array<int, 2>();
    REQUIRE(pipe(ends.data()) == 0);
    REQUIRE(pipe(done.data()) == 0);
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0)
        logIntoFullPipe(ends[1], done[1]);
    auto waiting = pollfd{.fd = done[0], .events = POLLIN, .revents = 0};
    const auto ready = poll(&waiting, 1, TIME_LIMIT_MS);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    for (const auto end : {ends[0], ends[1], done[0], done[1]})
        close(end);
    CHECK(ready == 1);
}

// Guards against the loss of the last lines, which say why a process ended.
TEST_CASE("shutting down the logging writes what is queued")
{
    auto ends = std::array<int, 2>();
    REQUIRE(pipe(ends.data()) == 0);
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        setUpLogging(LogLevel::Info);
        for (auto i = 0; i < 20; ++i)
            logLine(LogLevel::Info, "test", "line " + std::to_string(i), {{"number", "1"}});
        shutDownLogging();
        _exit(EXIT_DONE);
    }
    close(ends[1]);
    auto text = std::string();
    auto buffer = std::array<char, 4096>();
    for (auto count = read(ends[0], buffer.data(), buffer.size()); count > 0;
         count = read(ends[0], buffer.data(), buffer.size()))
        text.append(buffer.data(), static_cast<std::size_t>(count));
    close(ends[0]);
    auto status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(text.find("line 0") != std::string::npos);
    CHECK(text.find("line 19") != std::string::npos);
    CHECK(text.find("\"number\"") != std::string::npos);
}

} // namespace auburnrail
