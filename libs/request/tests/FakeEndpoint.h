#ifndef AUBURNRAIL_REQUEST_TESTS_FAKEENDPOINT_H
#define AUBURNRAIL_REQUEST_TESTS_FAKEENDPOINT_H

#include <request/EndpointRequest.h>
#include <request/EndpointResponse.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Log entry of a FakeEndpoint.
struct FakeEntry
{
    Position position;
    std::string statement;
    std::string key;
    std::string fingerprint;
};

/// Emulated database server that runs exchanges immediately and without faults.
struct FakeEndpoint
{
    std::string name;
    bool primary = false;
    std::uint64_t term = 1;
    std::vector<FakeEntry> log;
    std::map<std::uint64_t, std::vector<std::string>> transactions; ///< By connection.
    std::map<std::string, int> runs;                                ///< By statement.
    bool mixed = false; ///< A connection served a statement of another transaction.

    [[nodiscard]] auto position() const -> Position
    {
        return this->log.empty() ? Position{} : this->log.back().position;
    }

    [[nodiscard]] auto count(const std::string &statement) const -> int
    {
        return static_cast<int>(
            std::count_if(this->log.begin(), this->log.end(),
                          [&](const FakeEntry &entry) { return entry.statement == statement; }));
    }

    auto run(const EndpointRequest &request, std::uint64_t connection) -> EndpointResponse
    {
        auto response = EndpointResponse{.exchangeId = request.exchangeId};
        response.refusal = this->apply(request, connection, response);
        if (response.position == Position())
            response.position = this->position();
        response.term = this->term;
        response.primary = this->primary;
        return response;
    }

    auto append(FakeEntry entry) -> void
    {
        entry.position = {.term = this->term, .index = this->log.size() + 1};
        this->log.push_back(std::move(entry));
    }

private:
    auto apply(const EndpointRequest &request, std::uint64_t connection, EndpointResponse &response)
        -> EndpointRefusal
    {
        const auto open = this->transactions.find(connection);
        if (request.operation == EndpointOperation::Rollback) {
            this->transactions.erase(connection);
            return EndpointRefusal::None;
        }
        if (request.term != this->term)
            return EndpointRefusal::WrongTerm;
        const auto read = request.operation == EndpointOperation::Await
                          || (request.operation == EndpointOperation::Execute
                              && request.mode == AccessMode::Read);
        if (!read && !this->primary)
            return EndpointRefusal::NotPrimary;
        if (read && this->position() < request.minimumPosition)
            return EndpointRefusal::Behind;
        if (request.operation == EndpointOperation::Begin) {
            this->mixed = this->mixed || open != this->transactions.end();
            this->transactions[connection];
            return EndpointRefusal::None;
        }
        if (request.operation == EndpointOperation::Commit) {
            if (open == this->transactions.end())
                return EndpointRefusal::NoTransaction;
            for (const auto &statement : open->second)
                this->append({.statement = statement});
            this->transactions.erase(open);
            return EndpointRefusal::None;
        }
        if (request.operation == EndpointOperation::Await)
            return EndpointRefusal::None;
        ++this->runs[request.statement];
        response.result = std::to_string(this->log.size());
        if (open != this->transactions.end()) {
            this->mixed =
                this->mixed || (!open->second.empty() && open->second.front() != request.statement);
            open->second.push_back(request.statement);
            return EndpointRefusal::None;
        }
        if (!read)
            this->write(request, response);
        return EndpointRefusal::None;
    }

    auto write(const EndpointRequest &request, EndpointResponse &response) -> void
    {
        for (const auto &entry : this->log) {
            if (!request.idempotencyKey.empty() && entry.key == request.idempotencyKey
                && entry.fingerprint == request.fingerprint) {
                response.duplicate = true;
                response.position = entry.position;
                return;
            }
        }
        this->append({.statement = request.statement,
                      .key = request.idempotencyKey,
                      .fingerprint = request.fingerprint});
    }
};

} // namespace auburnrail

#endif
