#include <entry/EntryServer.h>

#include <callers/CallerCodec.h>
#include <endpoint/EndpointCodec.h>
#include <http/HttpConnection.h>

#include <absl/strings/str_cat.h>

namespace auburnrail {

namespace {

constexpr auto ANNOUNCEMENT_PATH = "/v1/announcements";
constexpr auto STATUS_BAD_REQUEST = 400;

auto fail(Outcome outcome, ReasonCode reason, std::string message) -> CallerAnswer
{
    auto answer = CallerAnswer();
    answer.outcome = outcome;
    answer.reason = reason;
    answer.message = std::move(message);
    return answer;
}

auto fromEndpoint(const EndpointAnswer &endpointAnswer) -> CallerAnswer
{
    if (endpointAnswer.refusal != EndpointRefusal::None) {
        return fail(Outcome::NotRun, ReasonCode::StatementFailed,
                    std::string(nameOf(endpointAnswer.refusal)));
    }
    auto answer = CallerAnswer();
    answer.outcome = Outcome::Ran;
    answer.reason = ReasonCode::Completed;
    answer.result = endpointAnswer.result;
    answer.servedByReplica = !endpointAnswer.primary;
    return answer;
}

} // namespace

EntryServer::EntryServer(const EntrySettings &settings, Clock entryClock, RandomSource entryRandom)
    : clock(std::move(entryClock))
    , random(std::move(entryRandom))
    , server(HttpServerSettings{.address = settings.callersAddress,
                                .workerThreads = static_cast<std::size_t>(settings.workerThreads),
                                .maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes)},
             HttpServerHooks{
                 .handle = [this](const HttpRequest &request) { return this->handle(request); },
                 .opened = {},
                 .closed = {}})
{
}

auto EntryServer::start() -> absl::Status
{
    return this->server.start();
}

auto EntryServer::stop() -> void
{
    this->server.stop();
}

auto EntryServer::handle(const HttpRequest &request) -> HttpResponse
{
    if (request.target == ANNOUNCEMENT_PATH)
        return this->handleAnnouncement(request);
    auto requestId = absl::StrCat(absl::Hex(this->random()));
    const auto decoded = decodeCallerRequest(request, requestId, this->clock());
    if (const auto *refusal = std::get_if<CallerAnswer>(&decoded))
        return encodeCallerAnswer(*refusal, requestId);
    const auto &callerRequest = std::get<CallerRequest>(decoded);
    return encodeCallerAnswer(this->serve(callerRequest), callerRequest.requestId);
}

auto EntryServer::handleAnnouncement(const HttpRequest &request) -> HttpResponse
{
    auto announcement = decodeAnnouncement(request);
    if (!announcement.ok()) {
        return HttpResponse{.status = STATUS_BAD_REQUEST,
                            .headers = {},
                            .body = std::string(announcement.status().message())};
    }
    this->endpoints.record(*std::move(announcement));
    return HttpResponse{.status = 200, .headers = {}, .body = "{}"};
}

auto EntryServer::serve(const CallerRequest &request) -> CallerAnswer
{
    const auto primary = this->endpoints.primaryOf(request.service);
    if (!primary)
        return fail(Outcome::NotRun, ReasonCode::NoPrimary, "the service has no known primary");
    const auto exchange = EndpointRequest{.exchangeId = request.requestId,
                                          .operation = EndpointOperation::Execute,
                                          .term = primary->term,
                                          .mode = request.mode,
                                          .statement = request.statement};
    const auto result = exchangeOnce(primary->address, encodeEndpointRequest(exchange),
                                     request.deadline - this->clock());
    if (result.phase == ExchangePhase::Connecting)
        return fail(Outcome::NotRun, ReasonCode::ConnectFailed, result.error);
    if (result.phase != ExchangePhase::Answered)
        return fail(Outcome::Unknown, ReasonCode::ConnectionLost, result.error);
    const auto answer = decodeEndpointAnswer(result.response);
    if (!answer.ok() || answer->exchangeId != exchange.exchangeId) {
        return fail(Outcome::Unknown, ReasonCode::AnswerMismatched,
                    "the answer does not belong to this request");
    }
    auto callerAnswer = fromEndpoint(*answer);
    callerAnswer.endpoint = primary->endpoint;
    return callerAnswer;
}

} // namespace auburnrail
