#include <entry/EntryNode.h>

#include <wire/ControlClient.h>

#include <future>
#include <map>

namespace auburnrail {

namespace {

/// Probes, awaits and opening connections block a worker each.
constexpr auto WORKER_COUNT = std::size_t(32);
constexpr auto EXPIRY_INTERVAL = std::chrono::milliseconds(10);
constexpr auto DRAIN_CHECK_INTERVAL = std::chrono::milliseconds(20);

auto makeIdentity(const EntrySettings &settings, const std::string &clusterSecret,
                  const RandomSource &random) -> EntryIdentity
{
    return EntryIdentity{.instance = settings.instance,
                         .incarnation = random() >> 1U, // Thrift has signed integers only.
                         .zone = settings.zone,
                         .operatorsAddress = settings.operatorsAddress,
                         .clusterSecret = clusterSecret};
}

auto makeHeartbeatHooks(const std::vector<MemberAddress> &members) -> HeartbeatLoopHooks
{
    auto clients = std::make_shared<std::map<std::string, ControlClient>>();
    for (const auto &member : members)
        clients->try_emplace(member.name, member.address);
    return HeartbeatLoopHooks{
        .send =
            [clients](const std::string &name, const Heartbeat &heartbeat, Duration timeLimit) {
                return clients->at(name).heartbeat(heartbeat, timeLimit);
            },
        .wallClock = systemWallClockMillis};
}

} // namespace

EntryNode::EntryNode(EntrySettings entrySettings, const std::string &clusterSecret)
    : settings(std::move(entrySettings))
    , workers(WORKER_COUNT)
    , tables(makeIdentity(settings, clusterSecret, makeSecureRandom()), workers.executor(),
             makeSecureRandom())
    , probes(tables)
    , heartbeats(tables, settings.controlMembers, makeHeartbeatHooks(settings.controlMembers))
    , callers(settings, tables)
    , operators(settings, tables)
{
}

EntryNode::~EntryNode()
{
    this->workers.stop();
}

auto EntryNode::start() -> absl::Status
{
    if (auto status = this->operators.start(); !status.ok())
        return status;
    if (auto status = this->callers.start(); !status.ok())
        return status;
    this->heartbeats.start();
    this->probes.start();
    this->scheduleExpiry();
    return absl::OkStatus();
}

auto EntryNode::scheduleExpiry() -> void
{
    this->tables.executor.postAfter(EXPIRY_INTERVAL, [this] {
        this->tables.expire(this->tables.executor.now());
        this->scheduleExpiry();
    });
}

auto EntryNode::shutDown() -> void
{
    this->operators.setReady(false);
    auto graceOver = std::promise<void>();
    this->tables.executor.postAfter(this->settings.readyGrace, [&] { graceOver.set_value(); });
    graceOver.get_future().wait();
    this->callers.drain();
    this->waitForUnfinishedWork();
    this->tables.transactions.closeAll();
    this->callers.stop();
    this->heartbeats.stop();
    this->workers.stop();
    this->operators.stop();
}

auto EntryNode::waitForUnfinishedWork() -> void
{
    const auto end = this->tables.executor.now() + this->settings.drainLimit;
    auto finished = std::promise<void>();
    auto check = std::function<auto()->void>();
    check = [&] {
        if (this->callers.unfinishedWork() == 0 || this->tables.executor.now() >= end)
            finished.set_value();
        else
            this->tables.executor.postAfter(DRAIN_CHECK_INTERVAL, check);
    };
    this->tables.executor.post(check);
    finished.get_future().wait();
}

} // namespace auburnrail
