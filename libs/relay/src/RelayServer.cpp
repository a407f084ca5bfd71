#include <relay/RelayServer.h>

#include "detail/RelaySession.h"

#include <relay/RelayTiming.h>

#include <utility>

namespace auburnrail {

namespace {

auto makeShared(RelayServerHooks hooks) -> std::shared_ptr<RelayServer::Shared>
{
    auto shared = std::make_shared<RelayServer::Shared>();
    shared->hooks = std::move(hooks);
    return shared;
}

} // namespace

RelayServer::RelayServer(IoPool &ioPool, std::string address, RelayServerHooks serverHooks)
    : shared(makeShared(std::move(serverHooks)))
    , listener(
          ioPool, std::move(address),
          StreamLimits{.maxInputBytes = RELAY_MAX_OUTPUT_BYTES,
                       .maxOutputBytes = RELAY_MAX_OUTPUT_BYTES},
          [this](const StreamConnection::Pointer &stream) {
              std::make_shared<detail::RelaySession>(stream, this->shared)->start();
          },
          this->shared->hooks.acceptRefused)
{
}

auto RelayServer::start() -> absl::Status
{
    return this->listener.start();
}

auto RelayServer::drain() -> void
{
    this->shared->draining = true;
}

auto RelayServer::openChannels() const -> std::size_t
{
    return this->shared->channels;
}

auto RelayServer::busyChannels() const -> std::size_t
{
    return this->shared->busyChannels;
}

auto RelayServer::port() const -> std::uint16_t
{
    return this->listener.port();
}

} // namespace auburnrail
