#ifndef AUBURNRAIL_PROCESSTEST_CHILDPROCESS_H
#define AUBURNRAIL_PROCESSTEST_CHILDPROCESS_H

#include <core/Time.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// One process started by a test. Its standard error and output go to a file. The destructor kills
/// it. Thread rule: one thread.
class ChildProcess
{
public:
    /// Starts `program` with `arguments`, output appended to `logPath`.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logPath);
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;
    ~ChildProcess();

    /// SIGKILL, and waits until it is gone.
    auto kill() -> void;

    /// SIGTERM; returns the exit status, or nothing when it did not end within `limit`.
    [[nodiscard]] auto terminate(Duration limit) -> std::optional<int>;

    /// Waits for the process to end by itself.
    [[nodiscard]] auto waitForExit(Duration limit) -> std::optional<int>;

    /// SIGSTOP: the process keeps its connections and does nothing.
    auto freeze() -> void;

    /// SIGCONT.
    auto resume() -> void;

    /// True until the process was seen to end.
    [[nodiscard]] auto isRunning() -> bool;

private:
    auto reap() -> void;

    int pid = 0;
    bool running = false;
    int exitStatus = -1;
};

} // namespace auburnrail

#endif
