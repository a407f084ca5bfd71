#include <state/FleetState.h>
#include <state/SynchronousReplicas.h>

#include "ConfigurationChanges.h"
#include "ObjectRules.h"
#include "ProcessChanges.h"

#include <core/Name.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace auburnrail {

namespace {

/// The target after a command: the new object, or nothing when the command deletes it.
using NewObject = std::optional<FleetObject>;
using Evaluation = std::variant<NewObject, CommandResult>;

auto notFound(ObjectKind kind, const std::string &name) -> CommandResult
{
    return detail::refuseCommand(CommandStatus::NotFound,
                                 absl::StrCat("no ", std::string(nameOf(kind)), " ", name));
}

auto evaluate(const FleetObjects &objects, const SetObject &body) -> Evaluation
{
    if (auto problem = detail::checkObject(objects, body.object))
        return std::move(*problem);
    auto merged = detail::mergeObject(body.object,
                                      objects.object(kindOf(body.object), objectName(body.object)));
    // The merged labels may exceed the limit.
    auto problem =
        std::visit([](const auto &object) { return detail::checkLabels(object.labels); }, merged);
    if (problem)
        return std::move(*problem);
    return NewObject(std::move(merged));
}

auto evaluate(const FleetObjects &objects, const DeleteObject &body) -> Evaluation
{
    const auto existing = objects.object(body.kind, body.name);
    if (!existing)
        return notFound(body.kind, body.name);
    if (auto problem = detail::checkDeletion(objects, *existing))
        return std::move(*problem);
    return NewObject();
}

auto evaluate(const FleetObjects &objects, const SetLabel &body) -> Evaluation
{
    auto object = objects.object(body.kind, body.name);
    if (!object)
        return notFound(body.kind, body.name);
    auto problem = std::visit(
        [&body](auto &value) {
            value.labels.insert_or_assign(body.key, body.value);
            return detail::checkLabels(value.labels);
        },
        *object);
    if (problem)
        return std::move(*problem);
    return object;
}

auto evaluate(const FleetObjects &objects, const RemoveLabel &body) -> Evaluation
{
    auto object = objects.object(body.kind, body.name);
    if (!object)
        return notFound(body.kind, body.name);
    const auto removed =
        std::visit([&body](auto &value) { return value.labels.erase(body.key); }, *object);
    if (removed == 0) {
        return detail::refuseCommand(CommandStatus::NotFound,
                                     absl::StrCat(body.name, " has no label ", body.key));
    }
    return object;
}

auto evaluate(const FleetObjects &objects, const WithdrawKey &body) -> Evaluation
{
    const auto *existing = objects.find<Key>(body.key);
    if (existing == nullptr)
        return notFound(ObjectKind::Key, body.key);
    auto key = *existing;
    key.withdrawn = true;
    return NewObject(std::move(key));
}

auto evaluate(const FleetObjects &objects, const GrantTerm &body) -> Evaluation
{
    const auto *existing = objects.find<Group>(body.group);
    if (existing == nullptr)
        return notFound(ObjectKind::Group, body.group);
    if (body.term != existing->term + 1) {
        return detail::refuseCommand(CommandStatus::WrongTerm,
                                     absl::StrCat("term ", body.term, " does not follow term ",
                                                  existing->term, " of group ", body.group));
    }
    auto group = *existing;
    auto &evidence = group.evidence;
    const auto required = synchronousReplicasOf(objects, group.name);
    // What was acknowledged with synchronous replicas is not less so in a later configuration.
    const auto isFenced = group.phase == GroupPhase::Fencing;
    evidence.synchronousReplicas =
        isFenced ? std::max(evidence.synchronousReplicas, required) : required;
    group.term = body.term;
    group.phase = GroupPhase::Fencing;
    return NewObject(std::move(group));
}

auto evaluate(const FleetObjects &objects, const PublishPrimary &body) -> Evaluation
{
    const auto *existing = objects.find<Group>(body.group);
    if (existing == nullptr)
        return notFound(ObjectKind::Group, body.group);
    if (body.term != existing->term || existing->phase != GroupPhase::Fencing) {
        return detail::refuseCommand(
            CommandStatus::WrongTerm,
            absl::StrCat("group ", body.group, " is in term ", existing->term, ", ",
                         std::string(nameOf(existing->phase)), "; not fencing term ", body.term));
    }
    const auto *endpoint = objects.find<Endpoint>(body.endpoint);
    if (endpoint == nullptr || endpoint->group != body.group) {
        return detail::refuseCommand(
            CommandStatus::NotFound,
            absl::StrCat("no endpoint ", body.endpoint, " in group ", body.group));
    }
    auto group = *existing;
    group.phase = GroupPhase::Serving;
    group.primary = body.endpoint;
    group.primaryStartedAt = endpoint->startedAt;
    group.isAwaitingEvidence = false;
    const auto lossAcceptedAfter =
        body.isLossAccepted ? body.start : group.evidence.lossAcceptedAfter;
    group.evidence = TermEvidence{
        .publishedIn = group.term, .start = body.start, .lossAcceptedAfter = lossAcceptedAfter};
    return NewObject(std::move(group));
}

/// Changes a group that is fencing `term`.
auto evaluateFencing(const FleetObjects &objects, const std::string &name, std::uint64_t term,
                     const std::function<auto(Group &)->void> &change) -> Evaluation
{
    const auto *existing = objects.find<Group>(name);
    if (existing == nullptr)
        return notFound(ObjectKind::Group, name);
    if (term != existing->term || existing->phase != GroupPhase::Fencing) {
        return detail::refuseCommand(CommandStatus::WrongTerm,
                                     absl::StrCat("group ", name, " is not fencing term ", term));
    }
    auto group = *existing;
    change(group);
    return NewObject(std::move(group));
}

auto evaluate(const FleetObjects &objects, const RecordAcknowledged &body) -> Evaluation
{
    return evaluateFencing(objects, body.group, body.term,
                           [&](Group &group) { group.evidence.acknowledged = body.position; });
}

auto evaluate(const FleetObjects &objects, const RecordEvidenceWait &body) -> Evaluation
{
    return evaluateFencing(objects, body.group, body.term,
                           [&](Group &group) { group.isAwaitingEvidence = body.isWaiting; });
}

auto evaluate(const FleetObjects &objects, const LeaveEndpoint &body) -> Evaluation
{
    const auto *existing = objects.find<Endpoint>(body.endpoint);
    if (existing == nullptr)
        return notFound(ObjectKind::Endpoint, body.endpoint);
    auto endpoint = *existing;
    endpoint.leaving = true;
    return NewObject(std::move(endpoint));
}

auto evaluate(const FleetObjects &objects, const AdoptPrimary &body) -> Evaluation
{
    const auto *existing = objects.find<Group>(body.group);
    if (existing == nullptr)
        return notFound(ObjectKind::Group, body.group);
    if (existing->term != 0 || !existing->primary.empty()) {
        return detail::refuseCommand(CommandStatus::WrongTerm,
                                     absl::StrCat("group ", body.group,
                                                  " has had a primary; it is in term ",
                                                  existing->term));
    }
    const auto *endpoint = objects.find<Endpoint>(body.endpoint);
    if (endpoint == nullptr || endpoint->group != body.group)
        return notFound(ObjectKind::Endpoint, body.endpoint);
    auto group = *existing;
    group.term = 1;
    group.phase = GroupPhase::Serving;
    group.primary = body.endpoint;
    group.primaryStartedAt = endpoint->startedAt;
    group.evidence = TermEvidence{.publishedIn = group.term};
    return NewObject(std::move(group));
}

/// Evaluates the document only; applyCommand stores the objects that it defines.
auto evaluate(const FleetObjects & /*objects*/, const ReplaceConfiguration &body) -> Evaluation
{
    if (const auto findings = checkConfiguration(body); !findings.empty())
        return detail::refuseCommand(CommandStatus::Invalid, findings.toString());
    return NewObject(body.document);
}

auto changedAtOf(const std::optional<FleetObject> &object) -> Revision
{
    if (!object)
        return 0;
    return std::visit([](const auto &value) { return value.changedAt; }, *object);
}

auto conflict(const FleetState &state, ObjectKind kind, const std::string &name, Revision expected,
              Revision actual) -> CommandResult
{
    auto result = detail::refuseCommand(
        CommandStatus::Conflict,
        actual == 0
            ? absl::StrCat("expected revision ", expected, ", but the object does not exist")
            : absl::StrCat("expected revision ", expected, ", but it is at ", actual));
    result.revision = actual;
    // A deleted object has no revision, so its deletion is looked up by name.
    const auto *winner = actual == 0 ? state.memory().findLastChange(kind, name)
                                     : state.memory().findRevision(actual);
    if (winner != nullptr) {
        result.winningCommandId = winner->commandId;
        result.revision = winner->revision;
    }
    return result;
}

} // namespace

auto applyCommand(FleetState &state, const Command &command, Revision index) -> CommandResult
{
    const auto &header = command.header;
    const auto tooOld = [&state](std::string message) -> CommandResult {
        auto result = detail::refuseCommand(CommandStatus::TooOld, std::move(message));
        result.revision = state.revision();
        return result;
    };
    if (index <= state.revision())
        return tooOld(absl::StrCat("log index ", index, " was applied before"));
    state.current.raiseRevision(index);
    if (const auto *first = state.memory().find(header.commandId); first != nullptr)
        return first->result;
    if (header.baseRevision < state.memory().forgottenRevision()) {
        return tooOld(absl::StrCat("base revision ", header.baseRevision,
                                   " is older than the command memory: read the state again"));
    }

    const auto [kind, name] = commandTarget(command.body);
    const auto finish = [&, target = std::pair(kind, name)](CommandResult result) {
        state.commandMemory.remember(
            RememberedCommand{header.commandId, index, target.first, target.second, result});
        return result;
    };
    const auto refuse = [&finish, index](CommandResult result) -> CommandResult {
        if (result.revision == 0)
            result.revision = index;
        return finish(std::move(result));
    };
    if (!isName(header.commandId))
        return detail::refuseCommand(CommandStatus::Invalid, "command id: is not a name");
    if (header.baseRevision >= index) {
        return refuse(detail::refuseCommand(CommandStatus::Invalid,
                                            "base revision: is later than the state"));
    }
    const auto actual = changedAtOf(state.objects().object(kind, name));
    if (header.expectedRevision && *header.expectedRevision != actual)
        return refuse(conflict(state, kind, name, *header.expectedRevision, actual));

    auto outcome = std::visit(
        [&state](const auto &body) { return evaluate(state.objects(), body); }, command.body);
    if (auto *problem = std::get_if<CommandResult>(&outcome); problem != nullptr)
        return refuse(std::move(*problem));
    if (const auto *replacement = std::get_if<ReplaceConfiguration>(&command.body)) {
        const auto *held = state.objects().find<ConfigurationDocument>(name);
        if (held != nullptr && replacement->document.version <= held->version)
            return finish(
                CommandResult{.status = CommandStatus::Applied, .revision = held->changedAt});
        for (auto &change : detail::configurationChanges(state.objects(), replacement->objects))
            state.store(index, change.kind, change.name, std::move(change.object));
    }
    auto &object = std::get<NewObject>(outcome);
    // Groups are not configured, so the first endpoint that announces itself creates its group.
    const auto *endpoint = object ? std::get_if<Endpoint>(&*object) : nullptr;
    if (endpoint != nullptr && state.objects().find<Group>(endpoint->group) == nullptr)
        state.store(index, ObjectKind::Group, endpoint->group, Group{.name = endpoint->group});
    if (kind == ObjectKind::Endpoint) {
        for (auto &group : detail::groupsAfterProcessChange(state.objects(), name, endpoint))
            state.store(index, ObjectKind::Group, group.name, group);
    }
    state.store(index, kind, name, std::move(object));
    return finish(CommandResult{.status = CommandStatus::Applied, .revision = index});
}

} // namespace auburnrail
