#ifndef AUBURNRAIL_DAEMON_SHUTDOWNSIGNAL_H
#define AUBURNRAIL_DAEMON_SHUTDOWNSIGNAL_H

namespace auburnrail {

/// Turns SIGTERM and SIGINT into a call that returns. Create it before any other thread starts,
/// because threads inherit the signal mask that it sets. SIGPIPE is ignored from then on.
class ShutdownSignal
{
public:
    ShutdownSignal();

    /// Blocks until the process is asked to end. Returns the signal's number.
    auto wait() -> int;
};

} // namespace auburnrail

#endif
