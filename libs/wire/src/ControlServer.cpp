#include <wire/ControlServer.h>

#include "HeartbeatCodec.h"
#include "TokenCodec.h"

#include "detail/FrameProtocol.h"
#include "detail/FrameServer.h"

#include <Control.h>

namespace auburnrail {

namespace {

/// Enough for requests of which some wait for a lock; held responses wait without a thread.
constexpr auto THREAD_COUNT = std::size_t(4);

using apache::thrift::transport::TMemoryBuffer;

class ControlHandler : public thriftgen::ControlCobSvIf
{
public:
    explicit ControlHandler(ControlServerHooks serverHooks)
        : hooks(std::move(serverHooks))
    {
    }

    auto heartbeat(std::function<void(thriftgen::HeartbeatAnswerMessage const &)> done,
                   const thriftgen::HeartbeatMessage &message) -> void override
    {
        this->hooks.heartbeat(detail::fromMessage(message),
                              [this, done = std::move(done)](const HeartbeatAnswer &answer) {
                                  done(detail::toMessage(answer, this->payloads));
                              });
    }

    auto takeTokens(std::function<void(thriftgen::TokenResponseMessage const &)> done,
                    const thriftgen::TokenRequestMessage &request) -> void override
    {
        done(detail::toMessage(this->hooks.takeTokens(detail::fromMessage(request))));
    }

private:
    const ControlServerHooks hooks;
    detail::HeartbeatPayloads payloads;
};

} // namespace

struct ControlServer::Impl
{
    Impl(std::string address, ControlServerHooks hooks)
        : processor(std::make_shared<ControlHandler>(std::move(hooks)))
        , server("entries", std::move(address), THREAD_COUNT,
                 [this](std::string request, const detail::FrameReply &reply) {
                     this->handle(request, reply);
                 })
    {
    }

    auto handle(std::string &request, const detail::FrameReply &reply) -> void
    {
        const auto output = std::make_shared<TMemoryBuffer>();
        const auto written = detail::protocolOver(output);
        // The processor refers to `written` until it has written the response, and to the request
        // only until process() returns.
        this->processor.process(
            [output, written, reply](bool isAnswered) {
                if (isAnswered)
                    reply(output->getBufferAsString());
            },
            detail::protocolOver(request), written);
    }

    thriftgen::ControlAsyncProcessor processor;
    detail::FrameServer server;
};

ControlServer::ControlServer(std::string address, ControlServerHooks serverHooks)
    : impl(std::make_unique<Impl>(std::move(address), std::move(serverHooks)))
{
}

ControlServer::~ControlServer()
{
    this->stop();
}

auto ControlServer::start() -> absl::Status
{
    return this->impl->server.start();
}

auto ControlServer::stop() -> void
{
    this->impl->server.stop();
}

auto ControlServer::port() const -> std::uint16_t
{
    return this->impl->server.port();
}

} // namespace auburnrail
