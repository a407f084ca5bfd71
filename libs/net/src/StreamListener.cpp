#include <net/StreamListener.h>

#include "detail/TcpAddress.h"
#include "detail/TcpStream.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>

namespace auburnrail {

namespace {

constexpr auto ACCEPT_BACKLOG = 1024;
/// After an error, which is a lack of descriptors or memory in most cases, so that connections
/// which end in between make room.
constexpr auto ACCEPT_RETRY_PAUSE = std::chrono::milliseconds(50);

} // namespace

struct StreamListener::Impl : public std::enable_shared_from_this<Impl>
{
    using Acceptor =
        boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, detail::TcpStream::Strand>;

    Impl(IoPool &ioPool, std::string listenAddress, const StreamLimits &streamLimits,
         Accepted acceptedHook, RefusalHook refusedHook)
        : pool(ioPool)
        , executor(ioPool.executor())
        , address(std::move(listenAddress))
        , limits(streamLimits)
        , accepted(std::move(acceptedHook))
        , refused(std::move(refusedHook))
        , acceptor(boost::asio::make_strand(ioPool.context()))
    {
    }

    auto accept() -> void
    {
        auto strand = boost::asio::make_strand(this->pool.context());
        this->acceptor.async_accept(
            strand, [self = this->shared_from_this()](const boost::system::error_code &error,
                                                      detail::TcpStream::Socket socket) {
                if (!self->acceptor.is_open())
                    return;
                if (error) {
                    if (self->refused)
                        self->refused(absl::ResourceExhaustedError(error.message()));
                    self->acceptLater();
                    return;
                }
                detail::applySocketOptions(socket, self->limits);
                self->accepted(std::make_shared<detail::TcpStream>(
                    std::move(socket), self->executor, self->pool.openStreams(), self->limits));
                self->accept();
            });
    }

    auto acceptLater() -> void
    {
        this->executor.postAfter(ACCEPT_RETRY_PAUSE, [self = this->shared_from_this()] {
            boost::asio::post(self->acceptor.get_executor(), [self] {
                if (self->acceptor.is_open())
                    self->accept();
            });
        });
    }

    IoPool &pool;
    const Executor executor;
    const std::string address;
    const StreamLimits limits;
    const Accepted accepted;
    const RefusalHook refused;
    Acceptor acceptor;
    std::uint16_t port = 0;
};

StreamListener::StreamListener(IoPool &pool, std::string address, StreamLimits limits,
                               Accepted accepted, RefusalHook refused)
    : impl(std::make_shared<Impl>(pool, std::move(address), limits, std::move(accepted),
                                  std::move(refused)))
{
}

StreamListener::~StreamListener()
{
    this->stop();
}

auto StreamListener::start() -> absl::Status
{
    const auto target = detail::parseTcpAddress(this->impl->address);
    if (!target.ok())
        return target.status();
    auto error = boost::system::error_code();
    auto &acceptor = this->impl->acceptor;
    acceptor.open(target->protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*target, error);
    if (!error)
        acceptor.listen(ACCEPT_BACKLOG, error);
    if (error) {
        return absl::UnavailableError("can't listen on " + this->impl->address + ": "
                                      + error.message());
    }
    this->impl->port = acceptor.local_endpoint(error).port();
    boost::asio::post(acceptor.get_executor(), [impl = this->impl] { impl->accept(); });
    return absl::OkStatus();
}

auto StreamListener::stop() -> void
{
    boost::asio::dispatch(this->impl->acceptor.get_executor(), [impl = this->impl] {
        auto ignored = boost::system::error_code();
        impl->acceptor.close(ignored);
    });
}

auto StreamListener::port() const -> std::uint16_t
{
    return this->impl->port;
}

} // namespace auburnrail
