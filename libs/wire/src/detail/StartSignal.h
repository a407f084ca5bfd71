#ifndef AUBURNRAIL_WIRE_DETAIL_STARTSIGNAL_H
#define AUBURNRAIL_WIRE_DETAIL_STARTSIGNAL_H

#include <thrift/server/TServer.h>

#include <exception>
#include <future>
#include <utility>

namespace auburnrail::detail {

/// Tells when a Thrift server has bound its address, or with which error it failed to.
class StartSignal : public apache::thrift::server::TServerEventHandler
{
public:
    auto preServe() -> void override
    {
        this->signalled = true;
        this->started.set_value();
    }

    /// Reports the exception being handled, if the server did not start before.
    auto fail() -> void
    {
        if (!std::exchange(this->signalled, true))
            this->started.set_exception(std::current_exception());
    }

    [[nodiscard]] auto future() -> std::future<void>
    {
        return this->started.get_future();
    }

private:
    std::promise<void> started;
    bool signalled = false; ///< Used by the server's thread only.
};

} // namespace auburnrail::detail

#endif
