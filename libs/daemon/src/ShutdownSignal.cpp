#include <daemon/ShutdownSignal.h>

#include <csignal>

namespace auburnrail {

namespace {

auto endSignals() -> sigset_t
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

ShutdownSignal::ShutdownSignal()
{
    const auto signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // Settings are read at the start; a request to read them again must not end the process.
    std::signal(SIGHUP, SIG_IGN);
}

auto ShutdownSignal::wait() -> int
{
    const auto signals = endSignals();
    auto number = 0;
    sigwait(&signals, &number);
    return number;
}

} // namespace auburnrail
