#include <entry/RequestRunner.h>

#include <entry/RequestTrace.h>

#include <request/RequestHooks.h>
#include <request/RequestMachine.h>
#include <request/RequestTables.h>
#include <state/Authorise.h>

#include <core/TaskQueue.h>

#include <algorithm>
#include <future>

namespace auburnrail {

namespace {

using Queue = std::shared_ptr<TaskQueue>;

/// Wraps `done` so that it runs on the request's own queue, whichever thread calls it.
template <typename Value>
auto onQueue(const Queue &queue, std::function<auto(Value)->void> done)
    -> std::function<auto(Value)->void>
{
    return [queue, done = std::move(done)](Value value) {
        queue->post([done, value = std::move(value)]() mutable { done(std::move(value)); });
    };
}

auto authoriseCaller(const EntryTables &tables, const std::string &key, const std::string &service)
    -> std::variant<CallerAuthorisation, ReasonCode>
{
    const auto objects = tables.state.snapshot();
    const auto result = authorise(*objects, service, key, tables.identity.clusterSecret);
    if (const auto *reason = std::get_if<ReasonCode>(&result))
        return *reason;
    const auto &authorisation = std::get<Authorisation>(result);
    return CallerAuthorisation{.organisation = authorisation.organisation,
                               .weight =
                                   static_cast<std::uint32_t>(std::max(1.0, authorisation.weight)),
                               .openRoute = authorisation.organisation.empty(),
                               .isolatedReads = authorisation.isolatedReads};
}

auto findGroup(const EntryTables &tables, const std::string &service) -> std::optional<GroupView>
{
    const auto objects = tables.state.snapshot();
    const auto *found = objects->find<Service>(service);
    if (found == nullptr)
        return std::nullopt;
    const auto *group = objects->find<Group>(found->group);
    if (group == nullptr)
        return std::nullopt;
    return GroupView{.group = group->name,
                     .term = group->term,
                     .primary = group->primary,
                     .serving = group->phase == GroupPhase::Serving && !group->primary.empty()};
}

auto makeHooks(EntryTables &tables, const Queue &queue, std::promise<CallerResponse> &response)
    -> RequestHooks
{
    auto hooks = RequestHooks();
    hooks.authorise = [&tables](const std::string &key, const std::string &service) {
        return authoriseCaller(tables, key, service);
    };
    hooks.groupOf = [&tables](const std::string &service) {
        return findGroup(tables, service);
    };
    hooks.holdsLease = [&tables] {
        return tables.lease.holds(tables.executor.now());
    };
    hooks.admit = [&tables, queue](const std::string &organisation, TimePoint deadline,
                                   RequestHooks::AdmitDone done) {
        if (organisation.empty()) { // Open routes have no rate limit.
            done(std::nullopt);
            return;
        }
        const auto request = AdmissionRequest{
            .organisation = organisation, .objectiveEnd = deadline, .deadline = deadline};
        tables.admission.admit(request, tables.executor.now(),
                               onQueue<std::optional<RequestRefusal>>(queue, std::move(done)));
    };
    hooks.acquire = [&tables, queue](const std::string &endpoint, const std::string &organisation,
                                     std::uint32_t weight, TimePoint deadline,
                                     RequestHooks::AcquireDone done) {
        tables.pool.acquire(endpoint, organisation, weight, deadline, tables.executor.now(),
                            onQueue<absl::StatusOr<ConnectionHandle>>(queue, std::move(done)));
    };
    hooks.release = [&tables](const ConnectionHandle &handle, bool reusable) {
        tables.pool.release(handle, reusable, tables.executor.now());
    };
    hooks.exchange = [&tables](const ConnectionHandle &handle, const EndpointRequest &request,
                               Duration timeLimit, const RequestHooks::ExchangeDone &done) {
        done(tables.connections.exchange(handle, request, timeLimit));
    };
    hooks.awaitReplicas = [&tables, queue](const std::string &group, Position position,
                                           TimePoint deadline, RequestHooks::ConfirmDone done) {
        tables.replication.awaitMajority(group, position, deadline,
                                         onQueue<bool>(queue, std::move(done)));
    };
    hooks.positionSeen = [&tables](const std::string &group, const std::string &endpoint,
                                   Position position) {
        tables.replication.recordPosition(group, endpoint, position);
    };
    hooks.acknowledge = [&tables](const std::string &group, Position position,
                                  const std::function<auto()->bool> &decide) {
        // A response without a position leaves open how far the entry has acknowledged.
        const auto named = position == Position() ? std::nullopt : std::optional(position);
        return tables.acknowledged.acknowledge(group, named, decide);
    };
    hooks.after = [queue](Duration delay, Task task) {
        queue->postAfter(delay, std::move(task));
    };
    hooks.random = tables.random;
    hooks.now = tables.executor.now;
    hooks.wallClock = [] {
        return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    };
    hooks.respond = [queue, &response](CallerResponse value) {
        response.set_value(std::move(value));
        queue->close();
    };
    return hooks;
}

} // namespace

RequestRunner::RequestRunner(EntryTables &entryTables)
    : tables(entryTables)
{
}

auto RequestRunner::serve(CallerRequest request) -> CallerResponse
{
    const auto queue = std::make_shared<TaskQueue>();
    auto promise = std::promise<CallerResponse>();
    const auto requestTables = RequestTables{.endpoints = &this->tables.endpoints,
                                             .retries = &this->tables.retries,
                                             .transactions = &this->tables.transactions,
                                             .sessions = &this->tables.sessions};
    auto hooks = makeHooks(this->tables, queue, promise);
    auto trace = RequestTrace(request, this->tables.executor.now());
    hooks.explain = [&trace](RequestRecord record) {
        trace.add(std::move(record));
    };
    RequestMachine::serve(std::move(request), std::move(hooks), requestTables);
    while (const auto task = queue->take())
        (*task)();
    auto response = promise.get_future().get();
    trace.finish(response, this->tables);
    return response;
}

} // namespace auburnrail
