#include <daemon/Logging.h>

#include <Poco/JSON/Parser.h>
#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <string>
#include <tuple>
#include <vector>

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

/// What `log` writes to standard output, in a process of its own.
auto outputOf(const std::function<auto()->void> &log) -> std::string
{
    auto ends = std::array<int, 2>();
    REQUIRE(pipe(ends.data()) == 0);
    std::cout.flush(); // What is buffered would be written by the child, too.
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        setUpLogging(LogLevel::Info);
        log();
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
    return text;
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
    const auto text = outputOf([] {
        for (auto i = 0; i < 20; ++i)
            logLine(LogLevel::Info, "test", "line " + std::to_string(i), {{"number", "1"}});
    });
    CHECK(text.find("line 0") != std::string::npos);
    CHECK(text.find("line 19") != std::string::npos);
    CHECK(text.find("\"number\"") != std::string::npos);
}

// Guards against a client's text that ends a line of the log, makes it unreadable, or fills it.
TEST_CASE("any text in a field leaves one readable line of bounded length")
{
    const auto texts = std::vector<std::string>{"a\r\nb",       "\"}, {\"x\": \"",
                                                "\\",           std::string("a\0b", 3),
                                                "\x01\x1f\x7f", "\xff\xfe",
                                                "\u00e9\u2028", "a\u0085b",
                                                "\xf0\x9f",     std::string(1 << 20, 'x')};
    for (const auto &text : texts) {
        const auto output = outputOf([&text] {
            logLine(LogLevel::Info, "test", "message", {{"field", text}});
        });
        INFO(output.substr(0, 200));
        CHECK(std::count(output.begin(), output.end(), '\n') == 1);
        CHECK(output.size() < 4096);
        CHECK_NOTHROW(Poco::JSON::Parser().parse(output));
        CHECK(std::none_of(output.begin(), output.end() - 1,
                           [](unsigned char character) { return character < ' '; }));
    }
}

} // namespace auburnrail
