#include <state/CommandBody.h>

namespace auburnrail {

namespace {

using Target = std::pair<ObjectKind, std::string>;

auto targetOf(const SetObject &body) -> Target
{
    return {kindOf(body.object), objectName(body.object)};
}

auto targetOf(const DeleteObject &body) -> Target
{
    return {body.kind, body.name};
}

auto targetOf(const SetLabel &body) -> Target
{
    return {body.kind, body.name};
}

auto targetOf(const RemoveLabel &body) -> Target
{
    return {body.kind, body.name};
}

auto targetOf(const WithdrawKey &body) -> Target
{
    return {ObjectKind::Key, body.key};
}

auto targetOf(const GrantTerm &body) -> Target
{
    return {ObjectKind::Group, body.group};
}

auto targetOf(const PublishPrimary &body) -> Target
{
    return {ObjectKind::Group, body.group};
}

auto targetOf(const LeaveEndpoint &body) -> Target
{
    return {ObjectKind::Endpoint, body.endpoint};
}

auto targetOf(const AdoptPrimary &body) -> Target
{
    return {ObjectKind::Group, body.group};
}

auto targetOf(const RecordAcknowledged &body) -> Target
{
    return {ObjectKind::Group, body.group};
}

auto targetOf(const RecordEvidenceWait &body) -> Target
{
    return {ObjectKind::Group, body.group};
}

auto targetOf(const ReplaceConfiguration & /*body*/) -> Target
{
    return {ObjectKind::Document, ConfigurationDocument::NAME};
}

} // namespace

auto commandTarget(const CommandBody &body) -> std::pair<ObjectKind, std::string>
{
    return std::visit([](const auto &value) { return targetOf(value); }, body);
}

} // namespace auburnrail
