#include <operators/OperatorHandler.h>

#include <operators/CommandJson.h>
#include <operators/ObjectJson.h>
#include <operators/StateQuery.h>

#include "ResultStatusTable.h"

namespace auburnrail {

namespace {

constexpr auto HTTP_METHOD_NOT_ALLOWED = 405;

auto respond(int status, const JsonWriter &writer) -> HttpResponse
{
    return HttpResponse{.status = status, .headers = {}, .body = writer.toString()};
}

auto refuse(int status, std::string_view message) -> HttpResponse
{
    auto writer = JsonWriter();
    writer.text("outcome", nameOf(SubmitStatus::NotRun));
    writer.text("message", message);
    return respond(status, writer);
}

auto answerCommand(const OperatorHooks &hooks, const HttpRequest &request) -> HttpResponse
{
    const auto command = decodeCommandJson(request.body);
    if (!command.ok()) {
        // Decided, since no other member would read the body differently.
        return encodeSubmitAnswer(
            SubmitAnswer{.status = SubmitStatus::Decided,
                         .result = {.status = CommandStatus::Invalid,
                                    .message = std::string(command.status().message())}});
    }
    return encodeSubmitAnswer(hooks.submit(*command));
}

auto answerState(const OperatorHooks &hooks, const HttpRequest &request) -> HttpResponse
{
    const auto query = parseStateQuery(request.target);
    if (!query.ok())
        return refuse(detail::HTTP_BAD_REQUEST, std::string(query.status().message()));
    const auto state = hooks.state();
    auto items = std::vector<JsonWriter>();
    for (const auto &object : selectObjects(*state, *query))
        items.push_back(encodeObject(object, false));
    auto writer = JsonWriter();
    writer.integer("revision", static_cast<std::int64_t>(state->revision()));
    writer.objects("objects", items);
    return respond(detail::HTTP_OK, writer);
}

auto answerStatus(const OperatorHooks &hooks) -> HttpResponse
{
    const auto status = hooks.status();
    auto writer = JsonWriter();
    writer.text("instance", status.instance);
    writer.boolean("leading", status.leading);
    writer.text("leader", status.leader);
    writer.integer("term", static_cast<std::int64_t>(status.term));
    writer.integer("revision", static_cast<std::int64_t>(status.revision));
    writer.integer("leases", static_cast<std::int64_t>(status.leases));
    return respond(detail::HTTP_OK, writer);
}

} // namespace

auto handleOperatorRequest(const OperatorHooks &hooks, const HttpRequest &request)
    -> std::optional<HttpResponse>
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto isCommand = path == "/v1/commands";
    if (!isCommand && path != "/v1/state" && path != "/v1/status")
        return std::nullopt;
    if (request.method != (isCommand ? "POST" : "GET"))
        return refuse(HTTP_METHOD_NOT_ALLOWED, "the path does not take this method");
    if (isCommand)
        return answerCommand(hooks, request);
    return path == "/v1/state" ? answerState(hooks, request) : answerStatus(hooks);
}

} // namespace auburnrail
