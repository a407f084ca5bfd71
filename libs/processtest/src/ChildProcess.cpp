#include <processtest/ChildProcess.h>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace auburnrail {

namespace {

constexpr auto LOG_FILE_MODE = 0644;

/// Waits on the process's descriptor until it ends or `limit` has passed.
auto waitForEnd(int pid, Duration limit) -> void
{
    const auto descriptor = static_cast<int>(syscall(SYS_pidfd_open, pid, 0));
    if (descriptor < 0)
        return;
    auto waiting = pollfd{.fd = descriptor, .events = POLLIN, .revents = 0};
    ::poll(&waiting, 1, static_cast<int>(toMillis(limit)));
    ::close(descriptor);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &logPath)
{
    auto words = std::vector<std::string>{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    auto argv = std::vector<char *>();
    for (auto &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);

    auto actions = posix_spawn_file_actions_t();
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LOG_FILE_MODE);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto failure =
        posix_spawn(&this->pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("can't start " + program);
    this->running = true;
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

auto ChildProcess::reap() -> void
{
    auto status = 0;
    if (!this->running || waitpid(this->pid, &status, WNOHANG) != this->pid)
        return;
    this->running = false;
    this->exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

auto ChildProcess::isRunning() -> bool
{
    this->reap();
    return this->running;
}

auto ChildProcess::kill() -> void
{
    if (!this->isRunning())
        return;
    ::kill(this->pid, SIGKILL);
    auto status = 0;
    waitpid(this->pid, &status, 0);
    this->running = false;
}

auto ChildProcess::terminate(Duration limit) -> std::optional<int>
{
    if (this->isRunning())
        ::kill(this->pid, SIGTERM);
    return this->waitForExit(limit);
}

auto ChildProcess::waitForExit(Duration limit) -> std::optional<int>
{
    if (this->isRunning())
        waitForEnd(this->pid, limit);
    if (this->isRunning())
        return std::nullopt;
    return this->exitStatus;
}

auto ChildProcess::freeze() -> void
{
    if (this->isRunning())
        ::kill(this->pid, SIGSTOP);
}

auto ChildProcess::resume() -> void
{
    if (this->isRunning())
        ::kill(this->pid, SIGCONT);
}

} // namespace auburnrail
