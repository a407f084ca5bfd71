#include <http/HttpConnection.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <algorithm>
#include <atomic>
#include <istream>
#include <iterator>
#include <ostream>

namespace auburnrail {

namespace {

constexpr auto MIN_SOCKET_TIMEOUT = std::chrono::milliseconds(1);

auto toTimespan(Duration length) -> Poco::Timespan
{
    const auto bounded = std::max<Duration>(length, MIN_SOCKET_TIMEOUT);
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(bounded).count());
}

/// HTTPClientSession that can connect without sending, so that a failed connect is told apart from
/// a failed send.
class ClientSession : public Poco::Net::HTTPClientSession
{
public:
    explicit ClientSession(const Poco::Net::SocketAddress &peer)
        : Poco::Net::HTTPClientSession(peer)
        , peer(peer)
    {
    }

    auto connectNow(Duration timeout) -> void
    {
        auto socket = Poco::Net::StreamSocket();
        socket.connect(this->peer, toTimespan(timeout));
        socket.setNoDelay(true);
        this->attachSocket(socket);
    }

    /// Limits each later wait for the socket; setTimeout() acts on a later connect only.
    auto limitWaits(Duration timeout) -> void
    {
        this->socket().setSendTimeout(toTimespan(timeout));
        this->socket().setReceiveTimeout(toTimespan(timeout));
    }

    /// True when the peer has closed the connection: an idle connection is readable only then.
    auto isClosedByPeer() -> bool
    {
        return this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

private:
    Poco::Net::SocketAddress peer;
};

auto fail(ExchangePhase phase, std::string error) -> ExchangeResult
{
    return ExchangeResult{.phase = phase, .response = {}, .error = std::move(error)};
}

} // namespace

struct HttpConnection::Session
{
    explicit Session(const std::string &address)
        : client(Poco::Net::SocketAddress(address))
    {
    }

    ClientSession client;
    bool connected = false;
    std::atomic<bool> usable{true};
};

HttpConnection::HttpConnection(const std::string &address)
{
    try {
        this->session = std::make_unique<Session>(address);
        this->session->client.setKeepAlive(true);
        // The session must never decide by itself to reconnect.
        this->session->client.setKeepAliveTimeout(Poco::Timespan(365, 0, 0, 0, 0));
    } catch (const Poco::Exception &) {
        this->session.reset();
    }
}

HttpConnection::~HttpConnection() = default;

auto HttpConnection::isUsable() const -> bool
{
    return this->session != nullptr && this->session->usable;
}

auto HttpConnection::abort() -> void
{
    if (this->session == nullptr)
        return;
    this->session->usable = false;
    try {
        this->session->client.abort();
    } catch (const Poco::Exception &) {
        // The socket is closed already.
    }
}

auto HttpConnection::exchange(const HttpRequest &request, Duration timeout) -> ExchangeResult
{
    if (!this->isUsable())
        return fail(ExchangePhase::Connecting, "connection is closed");
    auto &state = *this->session;
    try {
        if (!state.connected) {
            state.client.connectNow(timeout);
            state.connected = true;
        } else if (state.client.isClosedByPeer()) {
            state.usable = false;
            return fail(ExchangePhase::Refused, "the peer closed the idle connection");
        }
    } catch (const Poco::Exception &error) {
        state.usable = false;
        return fail(ExchangePhase::Connecting, error.displayText());
    }

    auto phase = ExchangePhase::Sent;
    try {
        state.client.limitWaits(timeout);
        auto message = Poco::Net::HTTPRequest(request.method, request.target,
                                              Poco::Net::HTTPMessage::HTTP_1_1);
        message.setKeepAlive(true);
        message.setContentType("application/json");
        message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        for (const auto &[name, value] : request.headers)
            message.set(name, value);
        auto &output = state.client.sendRequest(message);
        output.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        output.flush();

        auto answer = Poco::Net::HTTPResponse();
        auto &input = state.client.receiveResponse(answer);
        phase = ExchangePhase::Truncated;
        auto result = ExchangeResult{.phase = ExchangePhase::Answered, .response = {}, .error = {}};
        result.response.status = answer.getStatus();
        for (const auto &[name, value] : answer)
            result.response.headers.emplace(Poco::toLower(name), value);
        result.response.body.assign(std::istreambuf_iterator<char>(input), {});
        if (answer.hasContentLength()
            && result.response.body.size()
                   != static_cast<std::size_t>(answer.getContentLength64())) {
            this->abort();
            return fail(ExchangePhase::Truncated, "the answer ended early");
        }
        if (!answer.getKeepAlive())
            state.usable = false;
        return result;
    } catch (const Poco::TimeoutException &error) {
        this->abort();
        return fail(ExchangePhase::TimedOut, error.displayText());
    } catch (const Poco::Exception &error) {
        this->abort();
        return fail(phase, error.displayText());
    } catch (const std::exception &error) {
        this->abort();
        return fail(phase, error.what());
    }
}

auto exchangeOnce(const std::string &address, const HttpRequest &request, Duration timeout)
    -> ExchangeResult
{
    return HttpConnection(address).exchange(request, timeout);
}

} // namespace auburnrail
