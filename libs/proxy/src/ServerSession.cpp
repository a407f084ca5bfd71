#include <proxy/ServerSession.h>

#include <algorithm>

namespace auburnrail {

auto ServerSession::preparations(const SessionValues &wanted,
                                 const std::optional<PreparedStatement> &prepared,
                                 bool inTransaction) const -> std::vector<ServerRequest>
{
    auto requests = std::vector<ServerRequest>();
    // Single values can be changed but not removed; only a reset removes values.
    const auto hasForeignValue =
        std::any_of(this->values.begin(), this->values.end(),
                    [&](const auto &value) { return !wanted.contains(value.first); });
    const auto isFull = this->preparedByName.size() >= MAX_PREPARED;
    const auto resets = !inTransaction && (hasForeignValue || isFull);
    if (resets)
        requests.push_back(ServerRequest{.operation = ServerOperation::ResetSession});
    for (const auto &[name, value] : wanted) {
        const auto held = this->values.find(name);
        if (!resets && held != this->values.end() && held->second == value)
            continue;
        requests.push_back(
            ServerRequest{.operation = ServerOperation::SetValue, .name = name, .value = value});
    }
    if (!prepared)
        return requests;
    auto name = nameOnServer(*prepared);
    if (resets || !this->preparedByName.contains(name)) {
        requests.push_back(ServerRequest{.operation = ServerOperation::Prepare,
                                         .name = std::move(name),
                                         .value = prepared->shape,
                                         .writes = prepared->writes});
    }
    return requests;
}

auto ServerSession::applied(const ServerRequest &request) -> void
{
    switch (request.operation) {
    case ServerOperation::ResetSession:
        this->values.clear();
        this->preparedByName.clear();
        break;
    case ServerOperation::SetValue:
        this->values.insert_or_assign(request.name, request.value);
        break;
    case ServerOperation::Prepare:
        this->preparedByName.insert_or_assign(request.name,
                                              PreparedStatement{request.value, request.writes});
        break;
    default:
        break;
    }
}

auto ServerSession::nameOnServer(const PreparedStatement &prepared) -> std::string
{
    return (prepared.writes ? "w" : "r") + prepared.shape;
}

} // namespace auburnrail
