#include <proxy/ServerSession.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

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
    const auto isFull =
        this->preparedNames.size() >= MAX_PREPARED || this->preparedBytes >= MAX_PREPARED_BYTES;
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
    if (resets || !this->preparedNames.contains(*prepared)) {
        requests.push_back(ServerRequest{.operation = ServerOperation::Prepare,
                                         .name = absl::StrCat("p", this->assignedNames + 1),
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
        this->preparedNames.clear();
        this->preparedBytes = 0;
        break;
    case ServerOperation::SetValue:
        this->values.insert_or_assign(request.name, request.value);
        break;
    case ServerOperation::Prepare:
        this->preparedNames.insert_or_assign(PreparedStatement{request.value, request.writes},
                                             request.name);
        this->preparedBytes += request.value.size();
        ++this->assignedNames;
        break;
    default:
        break;
    }
}

auto ServerSession::nameOnServer(const PreparedStatement &prepared) const -> const std::string &
{
    const auto found = this->preparedNames.find(prepared);
    assert(found != this->preparedNames.end()
           && "the statement must be prepared on the connection");
    return found->second;
}

} // namespace auburnrail
