#include "RequestFactory.h"

#include <daemon/Logging.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <istream>
#include <optional>

namespace auburnrail::detail {

namespace {

constexpr auto STATUS_PAYLOAD_TOO_LARGE = 413;
constexpr auto STATUS_BAD_REQUEST = 400;
constexpr auto STATUS_INTERNAL_ERROR = 500;
constexpr auto READ_CHUNK_BYTES = std::size_t(16384);

/// Counts a request as active for the length of a scope.
class ActiveRequest
{
public:
    explicit ActiveRequest(ServerState &serverState)
        : state(serverState)
    {
        ++this->state.activeRequests;
    }

    ~ActiveRequest()
    {
        --this->state.activeRequests;
    }

    ActiveRequest(const ActiveRequest &) = delete;
    auto operator=(const ActiveRequest &) -> ActiveRequest & = delete;

private:
    ServerState &state;
};

/// Body of the request, or nothing when it is longer than `limit` bytes.
auto readBody(std::istream &input, std::size_t limit) -> std::optional<std::string>
{
    auto body = std::string();
    auto chunk = std::array<char, READ_CHUNK_BYTES>();
    while (input.read(chunk.data(), chunk.size()) || input.gcount() > 0) {
        body.append(chunk.data(), static_cast<std::size_t>(input.gcount()));
        if (body.size() > limit)
            return std::nullopt;
    }
    return body;
}

auto toHttpRequest(Poco::Net::HTTPServerRequest &source, ServerState &state, std::string body)
    -> HttpRequest
{
    auto request = HttpRequest{.method = source.getMethod(),
                               .target = source.getURI(),
                               .headers = {},
                               .body = std::move(body),
                               .peer = source.clientAddress().toString()};
    for (const auto &[name, value] : source)
        request.headers.insert_or_assign(Poco::toLower(name), value);
    request.headers.insert_or_assign("x-connection",
                                     std::to_string(state.connectionOf(request.peer)));
    return request;
}

class RequestHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RequestHandler(std::shared_ptr<ServerState> serverState)
        : state(std::move(serverState))
    {
    }

    auto handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) -> void override
    {
        const auto active = ActiveRequest(*this->state);
        auto body = readBody(request.stream(), this->state->maxBodyBytes);
        if (!body) {
            this->answer(response, HttpResponse{.status = STATUS_PAYLOAD_TOO_LARGE,
                                                .body = R"({"outcome":"not-run",)"
                                                        R"("reason":"body-too-large"})",
                                                .closeConnection = true});
            return;
        }
        if (request.hasContentLength()
            && static_cast<std::size_t>(request.getContentLength64()) != body->size()) {
            this->answer(response, HttpResponse{.status = STATUS_BAD_REQUEST,
                                                .body = R"({"outcome":"not-run",)"
                                                        R"("reason":"malformed-request"})",
                                                .closeConnection = true});
            return;
        }
        this->answer(response,
                     this->handle(toHttpRequest(request, *this->state, std::move(*body))));
    }

private:
    [[nodiscard]] auto handle(const HttpRequest &request) -> HttpResponse
    {
        try {
            return this->state->hooks.handle(request);
        } catch (const std::exception &error) {
            logLine(
                LogLevel::Error, "http", "request failed",
                {{"method", request.method}, {"target", request.target}, {"error", error.what()}});
            return HttpResponse{.status = STATUS_INTERNAL_ERROR,
                                .body = R"({"outcome":"unknown","reason":"internal-error"})",
                                .closeConnection = true};
        }
    }

    auto answer(Poco::Net::HTTPServerResponse &response, const HttpResponse &content) -> void
    {
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(content.status));
        response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
        response.setContentType(content.contentType);
        for (const auto &[name, value] : content.headers)
            response.set(name, value);
        const auto mayClose = this->state->draining || this->state->isCrowded();
        if (content.closeConnection || (mayClose && !content.keepOpen))
            response.setKeepAlive(false);
        try {
            if (content.withheldBytes == 0) {
                response.sendBuffer(content.body.data(), content.body.size());
                return;
            }
            // The stated length stays whole, and the connection ends short of it.
            response.setKeepAlive(false);
            response.setContentLength64(static_cast<Poco::Int64>(content.body.size()));
            const auto sent =
                content.body.size() - std::min(content.withheldBytes, content.body.size());
            response.send().write(content.body.data(), static_cast<std::streamsize>(sent)).flush();
        } catch (const Poco::Exception &) {
            // The peer is gone; its connection ends with this handler.
        }
    }

    std::shared_ptr<ServerState> state;
};

} // namespace

RequestFactory::RequestFactory(std::shared_ptr<ServerState> serverState)
    : state(std::move(serverState))
{
}

auto RequestFactory::createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/)
    -> Poco::Net::HTTPRequestHandler *
{
    return new RequestHandler(this->state);
}

} // namespace auburnrail::detail
