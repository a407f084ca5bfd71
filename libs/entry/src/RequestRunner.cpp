#include <entry/RequestRunner.h>

#include <entry/RequestTrail.h>

#include <request/RequestHooks.h>
#include <request/RequestMachine.h>
#include <request/RequestTables.h>
#include <state/Authorise.h>

#include <core/TaskQueue.h>

#include <algorithm>
#include <future>

namespace auburnrail {

namespace {

using Loop = std::shared_ptr<TaskQueue>;

/// `done` that runs on the request's own loop, whichever thread calls it.
template <typename Value>
auto onLoop(const Loop &loop, std::function<auto(Value)->void> done)
    -> std::function<auto(Value)->void>
{
    return [loop, done = std::move(done)](Value value) {
        loop->post([done, value = std::move(value)]() mutable { done(std::move(value)); });
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

auto makeHooks(EntryTables &tables, const Loop &loop, std::promise<CallerResponse> &answer)
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
    hooks.admit = [&tables, loop](const std::string &organisation, TimePoint deadline,
                                  RequestHooks::AdmitDone done) {
        if (organisation.empty()) { // Open routes have no rate.
            done(std::nullopt);
            return;
        }
        const auto order = AdmissionRequest{
            .organisation = organisation, .objectiveEnd = deadline, .deadline = deadline};
        tables.admission.admit(order, tables.executor.now(),
                               onLoop<std::optional<RequestRefusal>>(loop, std::move(done)));
    };
    hooks.acquire = [&tables, loop](const std::string &endpoint, const std::string &organisation,
                                    std::uint32_t weight, TimePoint deadline,
                                    RequestHooks::AcquireDone done) {
        tables.pool.acquire(endpoint, organisation, weight, deadline, tables.executor.now(),
                            onLoop<absl::StatusOr<ConnectionHandle>>(loop, std::move(done)));
    };
    hooks.release = [&tables](const ConnectionHandle &handle, bool reusable) {
        tables.pool.release(handle, reusable, tables.executor.now());
    };
    hooks.exchange = [&tables](const ConnectionHandle &handle, const EndpointRequest &request,
                               Duration timeLimit, const RequestHooks::ExchangeDone &done) {
        done(tables.connections.exchange(handle, request, timeLimit));
    };
    hooks.awaitReplicas = [&tables, loop](const std::string &group, Position position,
                                          TimePoint deadline, RequestHooks::ConfirmDone done) {
        tables.replication.awaitMajority(group, position, deadline,
                                         onLoop<bool>(loop, std::move(done)));
    };
    hooks.positionSeen = [&tables](const std::string &group, const std::string &endpoint,
                                   Position position) {
        tables.replication.recordPosition(group, endpoint, position);
    };
    hooks.after = [loop](Duration delay, Task task) {
        loop->postAfter(delay, std::move(task));
    };
    hooks.random = tables.random;
    hooks.now = tables.executor.now;
    hooks.wallClock = [] {
        return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    };
    hooks.respond = [loop, &answer](CallerResponse value) {
        answer.set_value(std::move(value));
        loop->close();
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
    const auto loop = std::make_shared<TaskQueue>();
    auto promise = std::promise<CallerResponse>();
    const auto requestTables = RequestTables{.endpoints = &this->tables.endpoints,
                                             .retries = &this->tables.retries,
                                             .transactions = &this->tables.transactions,
                                             .sessions = &this->tables.sessions};
    auto hooks = makeHooks(this->tables, loop, promise);
    auto trail = RequestTrail(request, this->tables.executor.now());
    hooks.explain = [&trail](RequestRecord record) {
        trail.add(std::move(record));
    };
    RequestMachine::serve(std::move(request), std::move(hooks), requestTables);
    while (const auto task = loop->take())
        (*task)();
    auto answer = promise.get_future().get();
    trail.finish(answer, this->tables);
    return answer;
}

} // namespace auburnrail
