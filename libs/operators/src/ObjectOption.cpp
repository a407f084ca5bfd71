#include "ObjectOption.h"

#include <array>

namespace auburnrail::detail {

namespace {

constexpr auto OBJECT_OPTIONS = std::to_array<ObjectOption>({
    {ObjectKind::Service, "--group", "group", ValueType::Text, "group that serves it"},
    {ObjectKind::Organisation, "--rate", "rate_per_second", ValueType::Number,
     "requests per second, over all instances"},
    {ObjectKind::Organisation, "--burst", "burst", ValueType::Number, "requests"},
    {ObjectKind::Organisation, "--weight", "weight", ValueType::Number,
     "part of contended resources, default 1"},
    {ObjectKind::Route, "--service", "service", ValueType::Text, "service that it opens"},
    {ObjectKind::Route, "--selector", "selector", ValueType::Text, "over labels of organisations"},
    {ObjectKind::Route, "--open", "open", ValueType::Boolean, "permit callers without a key"},
    {ObjectKind::Route, "--isolated-reads", "isolated_reads", ValueType::Boolean,
     "reads of a stated age go on while an entry is cut off"},
    {ObjectKind::Endpoint, "--group", "group", ValueType::Text, "group that it belongs to"},
    {ObjectKind::Endpoint, "--zone", "zone", ValueType::Text, "availability zone"},
    {ObjectKind::Endpoint, "--address", "address", ValueType::Text, "IP:port"},
    {ObjectKind::Endpoint, "--connection-limit", "connection_limit", ValueType::Integer,
     "connections"},
    {ObjectKind::Zone, "--evacuated", "evacuated", ValueType::Boolean,
     "its endpoints get no new work"},
    {ObjectKind::Objective, "--measure", "measure", ValueType::Text,
     "availability, latency, failover-gap or wrongful-refusals"},
    {ObjectKind::Objective, "--selector", "selector", ValueType::Text, "over labels of services"},
    {ObjectKind::Objective, "--target", "target", ValueType::Number,
     "share from 0 to 1, or milliseconds"},
    {ObjectKind::Objective, "--window-s", "window_s", ValueType::Integer, "seconds"},
});

} // namespace

auto objectOptions() -> std::span<const ObjectOption>
{
    return OBJECT_OPTIONS;
}

} // namespace auburnrail::detail
