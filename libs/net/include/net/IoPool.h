#ifndef AUBURNRAIL_NET_IOPOOL_H
#define AUBURNRAIL_NET_IOPOOL_H

#include <core/Executor.h>
#include <core/RefusalHook.h>

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace auburnrail {

namespace detail {
class OpenStreams;
}

/// Small set of threads that handle socket events, posted tasks and timers. A connection without
/// traffic occupies no thread; a thread without work waits in the kernel. Safe from any thread.
class IoPool
{
public:
    /// Starts `threadCount` threads, at least one. Waits until the system has room for the first;
    /// goes on with fewer when it has none for the others. `refused` may be empty.
    explicit IoPool(std::size_t threadCount, const RefusalHook &refused = {});
    IoPool(const IoPool &) = delete;
    auto operator=(const IoPool &) -> IoPool & = delete;

    /// Calls stop().
    ~IoPool();

    /// Hooks that run on this pool and read the system's monotonic clock. Valid while it lives.
    /// Tasks must not block.
    [[nodiscard]] auto executor() -> Executor;

    /// Lets running handlers end, joins the threads, ends the connections that are open and drops
    /// everything that was posted. Not to be called by a handler.
    auto stop() -> void;

    /// For connections of this pool.
    [[nodiscard]] auto openStreams() -> std::shared_ptr<detail::OpenStreams>;

    [[nodiscard]] auto context() -> boost::asio::io_context &;

private:
    struct Impl;

    std::unique_ptr<Impl> impl;
};

} // namespace auburnrail

#endif
