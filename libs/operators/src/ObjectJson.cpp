#include <operators/ObjectJson.h>

#include <limits>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto MILLIS_PER_SECOND = std::int64_t(1000);
constexpr auto MAX_WINDOW_S = std::int64_t(366) * 24 * 3600;

auto readSelector(JsonReader &reader) -> Selector
{
    auto findings = Findings();
    auto selector = Selector::parse(reader.text("selector"), "", findings);
    for (const auto &finding : findings.all())
        reader.fault("selector", finding.place.key + ": " + finding.message);
    return selector;
}

/// Integer of a member that must be from 0 to `maximum`.
auto readLimited(JsonReader &reader, const char *member, std::int64_t maximum,
                 std::int64_t fallback = 0) -> std::int64_t
{
    const auto value = reader.integer(member, fallback);
    if (value >= 0 && value <= maximum)
        return value;
    reader.fault(member, "is out of range");
    return fallback;
}

auto readUint32(JsonReader &reader, const char *member, std::uint32_t fallback = 0) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        readLimited(reader, member, std::numeric_limits<std::uint32_t>::max(), fallback));
}

auto readMillis(JsonReader &reader, const char *member) -> Duration
{
    return std::chrono::milliseconds(readLimited(reader, member, toMillis(Duration::max())));
}

auto writeFields(const Service &object, JsonWriter &writer) -> void
{
    writer.text("group", object.group);
    writer.integer("connection_limit", object.connectionLimit);
    writer.integer("synchronous_replicas", object.synchronousReplicas);
}

auto writeFields(const Organisation &object, JsonWriter &writer) -> void
{
    writer.number("rate_per_second", object.ratePerSecond);
    writer.number("burst", object.burst);
    writer.number("weight", object.weight);
}

auto writeFields(const Key &object, JsonWriter &writer) -> void
{
    writer.text("organisation", object.organisation);
    writer.boolean("withdrawn", object.withdrawn);
}

auto toJson(const SessionPolicy &policy) -> JsonWriter
{
    auto writer = JsonWriter();
    writer.text("database", policy.database);
    writer.text("consistency", nameOf(policy.consistency));
    writer.integer("max_staleness_ms", toMillis(policy.maxStaleness));
    writer.integer("statement_timeout_ms", toMillis(policy.statementTimeout));
    writer.integer("latency_objective_ms", toMillis(policy.latencyObjective));
    writer.integer("transaction_idle_limit_ms", toMillis(policy.transactionIdleLimit));
    writer.integer("priority", policy.priority);
    writer.integer("max_attempts", policy.maxAttempts);
    return writer;
}

auto readPolicy(JsonReader reader) -> SessionPolicy
{
    auto policy = SessionPolicy();
    policy.database = reader.requiredText("database");
    policy.consistency = readEnum(reader, "consistency", policy.consistency);
    policy.maxStaleness = readMillis(reader, "max_staleness_ms");
    policy.statementTimeout = readMillis(reader, "statement_timeout_ms");
    policy.latencyObjective = readMillis(reader, "latency_objective_ms");
    policy.transactionIdleLimit = readMillis(reader, "transaction_idle_limit_ms");
    policy.priority = readUint32(reader, "priority");
    policy.maxAttempts = readUint32(reader, "max_attempts", 1);
    return policy;
}

auto writeFields(const Route &object, JsonWriter &writer) -> void
{
    writer.text("service", object.service);
    writer.text("selector", object.selector.toString());
    writer.boolean("open", object.open);
    writer.boolean("isolated_reads", object.isolatedReads);
    if (object.sessions)
        writer.object("sessions", toJson(*object.sessions));
}

auto writeFields(const Group &object, JsonWriter &writer) -> void
{
    writer.integer("term", static_cast<std::int64_t>(object.term));
    writer.text("phase", nameOf(object.phase));
    writer.text("primary", object.primary);
}

auto writeFields(const Endpoint &object, JsonWriter &writer) -> void
{
    writer.text("group", object.group);
    writer.text("zone", object.zone);
    writer.text("address", object.address);
    writer.integer("connection_limit", object.connectionLimit);
    writer.boolean("leaving", object.leaving);
    writer.integer("started_at", static_cast<std::int64_t>(object.startedAt));
}

auto writeFields(const ConfigurationDocument &object, JsonWriter &writer) -> void
{
    writer.integer("version", static_cast<std::int64_t>(object.version));
    // The text holds callers' keys, which operators' answers must not show.
    writer.integer("bytes", static_cast<std::int64_t>(object.text.size()));
}

auto writeFields(const Entry & /*object*/, JsonWriter & /*writer*/) -> void
{
}

auto writeFields(const Zone &object, JsonWriter &writer) -> void
{
    writer.boolean("evacuated", object.evacuated);
}

auto writeFields(const Objective &object, JsonWriter &writer) -> void
{
    writer.text("measure", nameOf(object.kind));
    writer.text("selector", object.selector.toString());
    writer.number("target", object.target);
    writer.integer("window_s", toMillis(object.window) / MILLIS_PER_SECOND);
}

auto readFields(JsonReader &reader, Service &object) -> void
{
    object.group = reader.requiredText("group");
    object.connectionLimit = readUint32(reader, "connection_limit");
    object.synchronousReplicas = readUint32(reader, "synchronous_replicas");
}

auto readFields(JsonReader &reader, Organisation &object) -> void
{
    object.ratePerSecond = reader.number("rate_per_second");
    object.burst = reader.number("burst");
    object.weight = reader.number("weight", object.weight);
}

auto readFields(JsonReader &reader, Key &object) -> void
{
    object.organisation = reader.requiredText("organisation");
    object.hash = reader.text("hash");
    object.withdrawn = reader.boolean("withdrawn");
}

auto readFields(JsonReader &reader, Route &object) -> void
{
    object.service = reader.requiredText("service");
    object.selector = readSelector(reader);
    object.open = reader.boolean("open");
    object.isolatedReads = reader.boolean("isolated_reads");
    if (reader.has("sessions"))
        object.sessions = readPolicy(reader.object("sessions"));
}

auto readFields(JsonReader &reader, Group &object) -> void
{
    object.term = static_cast<std::uint64_t>(reader.integer("term"));
    object.phase = readEnum(reader, "phase", object.phase);
    object.primary = reader.text("primary");
}

auto readFields(JsonReader &reader, Endpoint &object) -> void
{
    object.group = reader.requiredText("group");
    object.zone = reader.requiredText("zone");
    object.address = reader.requiredText("address");
    const auto limit = reader.integer("connection_limit");
    if (limit < 0 || limit > std::numeric_limits<std::int32_t>::max())
        reader.fault("connection_limit", "is out of range");
    object.connectionLimit = static_cast<std::uint32_t>(limit);
    object.leaving = reader.boolean("leaving");
    object.startedAt = static_cast<std::uint64_t>(
        readLimited(reader, "started_at", std::numeric_limits<std::int64_t>::max()));
}

auto readFields(JsonReader &reader, ConfigurationDocument &object) -> void
{
    object.version = static_cast<std::uint64_t>(reader.integer("version"));
}

auto readFields(JsonReader & /*reader*/, Entry & /*object*/) -> void
{
}

auto readFields(JsonReader &reader, Zone &object) -> void
{
    object.evacuated = reader.boolean("evacuated");
}

auto readFields(JsonReader &reader, Objective &object) -> void
{
    object.kind = readEnum(reader, "measure", object.kind);
    object.selector = readSelector(reader);
    object.target = reader.number("target");
    const auto seconds = reader.integer("window_s");
    if (seconds < 1 || seconds > MAX_WINDOW_S)
        reader.fault("window_s", "must be from 1 second to 366 days");
    else
        object.window = std::chrono::seconds(seconds);
}

template <typename T>
auto nameField(T &object) -> std::string &
{
    return object.name;
}

auto nameField(Key &object) -> std::string &
{
    return object.id;
}

auto emptyObject(ObjectKind kind) -> FleetObject
{
    switch (kind) {
    case ObjectKind::Service:
        return Service();
    case ObjectKind::Organisation:
        return Organisation();
    case ObjectKind::Key:
        return Key();
    case ObjectKind::Route:
        return Route();
    case ObjectKind::Group:
        return Group();
    case ObjectKind::Endpoint:
        return Endpoint();
    case ObjectKind::Objective:
        return Objective();
    case ObjectKind::Document:
        return ConfigurationDocument();
    case ObjectKind::Entry:
        return Entry();
    case ObjectKind::Zone:
        return Zone();
    }
    return Service();
}

} // namespace

auto encodeObject(const FleetObject &object, bool withKeyHash) -> JsonWriter
{
    auto writer = JsonWriter();
    writer.text("kind", nameOf(kindOf(object)));
    writer.text("name", objectName(object));
    std::visit([&writer](const auto &value) -> void { writeFields(value, writer); }, object);
    if (const auto *key = std::get_if<Key>(&object); key != nullptr && withKeyHash)
        writer.text("hash", key->hash);
    std::visit(
        [&writer](const auto &value) -> void {
            writer.labels("labels", value.labels);
            writer.integer("changed_at", static_cast<std::int64_t>(value.changedAt));
        },
        object);
    return writer;
}

auto decodeObject(JsonReader &reader) -> FleetObject
{
    auto object = emptyObject(decodeKind(reader));
    std::visit(
        [&reader](auto &value) -> void {
            nameField(value) = reader.requiredText("name");
            readFields(reader, value);
            value.labels = reader.labels("labels");
            value.changedAt = static_cast<Revision>(reader.integer("changed_at"));
        },
        object);
    return object;
}

auto decodeKind(JsonReader &reader) -> ObjectKind
{
    if (reader.requiredText("kind").empty())
        return ObjectKind::Service;
    return readEnum(reader, "kind", ObjectKind::Service);
}

} // namespace auburnrail
