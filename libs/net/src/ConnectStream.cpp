#include <net/StreamConnection.h>

#include "detail/TcpStream.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "detail/TcpAddress.h"

namespace auburnrail {

namespace {

/// A connection attempt and its time limit; the first of the two to end decides.
struct Attempt
{
    explicit Attempt(const detail::TcpStream::Strand &strand, Duration timeLimit)
        : socket(strand)
        , timer(strand, timeLimit)
    {
    }

    detail::TcpStream::Socket socket;
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>,
                                      detail::TcpStream::Strand>
        timer;
    StreamConnection::Connected done;
};

auto finish(Attempt &attempt, absl::StatusOr<StreamConnection::Pointer> result) -> void
{
    const auto done = std::exchange(attempt.done, nullptr);
    if (done)
        done(std::move(result));
}

} // namespace

auto connectStream(IoPool &pool, const std::string &address, Duration timeLimit,
                   const StreamLimits &limits, StreamConnection::Connected done) -> void
{
    const auto target = detail::parseTcpAddress(address);
    if (!target.ok()) {
        done(target.status());
        return;
    }
    const auto strand = boost::asio::make_strand(pool.context());
    auto attempt = std::make_shared<Attempt>(strand, timeLimit);
    attempt->done = std::move(done);
    attempt->timer.async_wait([attempt, address](const boost::system::error_code &error) {
        if (error)
            return;
        auto ignored = boost::system::error_code();
        attempt->socket.close(ignored);
        finish(*attempt, absl::DeadlineExceededError("no answer from " + address));
    });
    attempt->socket.async_connect(
        *target, [attempt, address, limits, executor = pool.executor(),
                  streams = pool.openStreams()](const boost::system::error_code &error) {
            attempt->timer.cancel();
            if (!attempt->done)
                return;
            if (error) {
                finish(*attempt, absl::UnavailableError(absl::StrCat("can't connect to ", address,
                                                                     ": ", error.message())));
                return;
            }
            detail::applySocketOptions(attempt->socket, limits);
            finish(*attempt, std::make_shared<detail::TcpStream>(std::move(attempt->socket),
                                                                 executor, streams, limits));
        });
}

} // namespace auburnrail
