#include "CommandMaker.h"

#include "ObjectOption.h"

#include <operators/ObjectJson.h>

#include <absl/strings/numbers.h>

#include <cmath>
#include <type_traits>
#include <utility>
#include <variant>

namespace auburnrail::detail {

namespace {

auto addFinding(const std::string &argument, std::string message, Findings &findings) -> void
{
    findings.add(Place{"argument", 0, "", argument}, std::move(message));
}

/// Writes the option's given value. False when the value is not of its type.
auto writeGiven(const ObjectOption &option, const std::string &text, JsonWriter &writer) -> bool
{
    const auto member = std::string(option.member);
    switch (option.type) {
    case ValueType::Text:
        writer.text(member, text);
        return true;
    case ValueType::Number: {
        auto value = 0.0;
        const auto good = absl::SimpleAtod(text, &value) && std::isfinite(value);
        if (good)
            writer.number(member, value);
        return good;
    }
    case ValueType::Integer: {
        auto value = std::int64_t(0);
        const auto good = absl::SimpleAtoi(text, &value);
        if (good)
            writer.integer(member, value);
        return good;
    }
    case ValueType::Boolean:
        if (text != "true" && text != "false")
            return false;
        writer.boolean(member, text == "true");
        return true;
    }
    return false;
}

auto copyExisting(const ObjectOption &option, JsonReader &existing, JsonWriter &writer) -> void
{
    const auto member = std::string(option.member);
    switch (option.type) {
    case ValueType::Text:
        writer.text(member, existing.text(member));
        break;
    case ValueType::Number:
        writer.number(member, existing.number(member));
        break;
    case ValueType::Integer:
        writer.integer(member, existing.integer(member));
        break;
    case ValueType::Boolean:
        writer.boolean(member, existing.boolean(member));
        break;
    }
}

/// Copies the fields that no option sets.
template <typename T>
auto keepOtherFields(T & /*object*/, const T & /*old*/) -> void
{
}

auto keepOtherFields(Service &object, const Service &old) -> void
{
    object.connectionLimit = old.connectionLimit;
    object.synchronousReplicas = old.synchronousReplicas;
}

auto keepOtherFields(Route &object, const Route &old) -> void
{
    object.sessions = old.sessions;
}

auto keepOtherFields(Endpoint &object, const Endpoint &old) -> void
{
    object.leaving = old.leaving;
    object.startedAt = old.startedAt;
}

auto splitLabel(const std::string &argument, Findings &findings)
    -> std::pair<std::string, std::string>
{
    const auto separator = argument.find('=');
    if (separator == std::string::npos || separator == 0 || separator + 1 == argument.size()) {
        addFinding(argument, "must be key=value", findings);
        return {};
    }
    return {argument.substr(0, separator), argument.substr(separator + 1)};
}

auto copyFindings(const JsonReader &reader, Findings &findings) -> void
{
    for (const auto &finding : reader.findings().all())
        findings.add(finding.place, finding.message);
}

} // namespace

auto parseLabels(const std::vector<std::string> &arguments, Findings &findings) -> Labels
{
    auto labels = Labels();
    for (const auto &argument : arguments)
        labels.insert(splitLabel(argument, findings));
    return labels;
}

auto parseKind(const std::string &name, Findings &findings) -> ObjectKind
{
    const auto kind = parseName<ObjectKind>(name);
    if (!kind)
        addFinding(name, "is not a kind of object", findings);
    return kind.value_or(ObjectKind::Service);
}

auto makeObject(const Invocation &invocation, const std::string &existing, Findings &findings)
    -> FleetObject
{
    const auto kind = parseKind(invocation.noun, findings);
    auto old = JsonReader(existing, "state");
    auto writer = JsonWriter();
    writer.text("kind", invocation.noun);
    writer.text("name", invocation.name);
    for (const auto &option : objectOptions()) {
        if (option.kind != kind)
            continue;
        const auto given = invocation.members.find(std::string(option.member));
        if (given == invocation.members.end()) {
            if (old.has(std::string(option.member)))
                copyExisting(option, old, writer);
        } else if (!writeGiven(option, given->second, writer)) {
            addFinding(std::string(option.flag), "must be " + std::string(nameOf(option.type)),
                       findings);
        }
    }
    writer.labels("labels", parseLabels(invocation.labels, findings));
    auto reader = JsonReader(writer.toString(), "options");
    auto object = decodeObject(reader);
    if (old.has("kind")) {
        const auto oldObject = decodeObject(old);
        std::visit(
            [&oldObject](auto &value) {
                using Type = std::decay_t<decltype(value)>;
                if (const auto *oldValue = std::get_if<Type>(&oldObject); oldValue != nullptr)
                    keepOtherFields(value, *oldValue);
            },
            object);
    }
    copyFindings(old, findings);
    copyFindings(reader, findings);
    return object;
}

auto makeCommandBody(const Invocation &invocation, Findings &findings) -> std::optional<CommandBody>
{
    if (invocation.noun == "label") {
        const auto kind = parseKind(invocation.kind, findings);
        if (invocation.verb == "remove")
            return RemoveLabel{kind, invocation.name, invocation.labelArgument};
        auto [key, value] = splitLabel(invocation.labelArgument, findings);
        return SetLabel{kind, invocation.name, std::move(key), std::move(value)};
    }
    if (invocation.verb == "delete")
        return DeleteObject{parseKind(invocation.noun, findings), invocation.name};
    if (invocation.verb == "withdraw")
        return WithdrawKey{invocation.name};
    if (invocation.verb == "leave")
        return LeaveEndpoint{invocation.name};
    if (invocation.verb == "evacuate" || invocation.verb == "return")
        return SetObject{Zone{.name = invocation.name, .evacuated = invocation.verb == "evacuate"}};
    return std::nullopt;
}

} // namespace auburnrail::detail
