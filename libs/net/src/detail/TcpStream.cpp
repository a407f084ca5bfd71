#include "TcpStream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace auburnrail::detail {

namespace {

constexpr auto FIRST_INPUT_BYTES = std::size_t(2048);
/// Keep-alive probes within the silence limit; the kernel counts in whole seconds.
constexpr auto KEEP_ALIVE_PROBES = 2;
constexpr auto KEEP_ALIVE_INTERVAL_S = 1;

template <int Level, int Name>
using IntegerOption = boost::asio::detail::socket_option::integer<Level, Name>;

auto serialOf(const TcpStream::Strand &strand, Executor executor) -> Executor
{
    const auto startTimer = executor.postAfter;
    executor.post = [strand](Task task) {
        boost::asio::post(strand, std::move(task));
    };
    executor.postAfter = [strand, startTimer](Duration delay, Task task) {
        return startTimer(delay, [strand, task = std::move(task)]() mutable {
            boost::asio::post(strand, std::move(task));
        });
    };
    return executor;
}

} // namespace

auto applySocketOptions(TcpStream::Socket &socket, const StreamLimits &limits) -> void
{
    auto ignored = boost::system::error_code();
    const auto millis = static_cast<int>(toMillis(limits.silenceLimit));
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(millis), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(
                          std::max(1, millis / 1000 - KEEP_ALIVE_PROBES * KEEP_ALIVE_INTERVAL_S)),
                      ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(KEEP_ALIVE_INTERVAL_S), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(KEEP_ALIVE_PROBES), ignored);
}

TcpStream::TcpStream(Socket connectedSocket, const Executor &poolExecutor,
                     std::shared_ptr<OpenStreams> openStreams, const StreamLimits &streamLimits)
    : socket(std::move(connectedSocket))
    , streams(std::move(openStreams))
    , limits(streamLimits)
    , serial(serialOf(socket.get_executor(), poolExecutor))
{
}

auto TcpStream::executor() -> const Executor &
{
    return this->serial;
}

auto TcpStream::start(StreamHooks streamHooks) -> void
{
    boost::asio::dispatch(this->socket.get_executor(),
                          [self = this->shared_from_this(), hooks = std::move(streamHooks)] {
                              self->hooks = hooks;
                              if (self->ended) {
                                  if (self->hooks.closed)
                                      self->hooks.closed();
                                  self->hooks = StreamHooks();
                                  return;
                              }
                              self->reading = true;
                              self->streams->add(self.get(), [self] { self->end(); });
                              self->read();
                          });
}

auto TcpStream::send(std::string bytes) -> void
{
    boost::asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this(),
                                                        bytes = std::move(bytes)]() mutable {
        if (self->ended)
            return;
        if (self->output.size() + bytes.size() > self->limits.maxOutputBytes) {
            self->end();
            return;
        }
        if (self->output.empty())
            self->output = std::move(bytes);
        else
            self->output += bytes;
        if (self->writing.empty())
            self->write();
    });
}

auto TcpStream::close() -> void
{
    boost::asio::dispatch(this->socket.get_executor(),
                          [self = this->shared_from_this()] { self->end(); });
}

auto TcpStream::closeAfterSending() -> void
{
    boost::asio::dispatch(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->endsWhenWritten = true;
        if (self->writing.empty() && self->output.empty())
            self->end();
    });
}

auto TcpStream::read() -> void
{
    if (this->input.size() < this->inputUsed + FIRST_INPUT_BYTES / 2) {
        const auto wanted = std::max(FIRST_INPUT_BYTES, this->input.size() * 2);
        this->input.resize(std::min(wanted, this->limits.maxInputBytes));
    }
    if (this->inputUsed >= this->input.size()) {
        this->end();
        return;
    }
    this->socket.async_read_some(boost::asio::buffer(this->input.data() + this->inputUsed,
                                                     this->input.size() - this->inputUsed),
                                 [self = this->shared_from_this()](
                                     const boost::system::error_code &error, std::size_t count) {
                                     if (self->ended)
                                         return;
                                     if (error) {
                                         self->end();
                                         return;
                                     }
                                     self->takeInput(count);
                                 });
}

auto TcpStream::takeInput(std::size_t count) -> void
{
    this->inputUsed += count;
    const auto consumed =
        this->hooks.received(std::string_view(this->input).substr(0, this->inputUsed));
    this->input.erase(0, consumed);
    this->inputUsed -= consumed;
    if (!this->ended)
        this->read();
}

auto TcpStream::write() -> void
{
    this->writing.swap(this->output);
    boost::asio::async_write(this->socket, boost::asio::buffer(this->writing),
                             [self = this->shared_from_this()](
                                 const boost::system::error_code &error, std::size_t /*count*/) {
                                 self->writing.clear();
                                 if (self->ended)
                                     return;
                                 const auto isDone = self->output.empty() && self->endsWhenWritten;
                                 if (error || isDone)
                                     self->end();
                                 else if (!self->output.empty())
                                     self->write();
                             });
}

auto TcpStream::end() -> void
{
    if (this->ended)
        return;
    this->ended = true;
    auto ignored = boost::system::error_code();
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    this->socket.close(ignored);
    if (!this->reading)
        return;
    this->streams->remove(this);
    // The owner may drop this object in `closed`, and the hooks hold the owner.
    const auto last = std::exchange(this->hooks, StreamHooks());
    if (last.closed)
        last.closed();
}

} // namespace auburnrail::detail
