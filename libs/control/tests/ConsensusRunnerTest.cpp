#include <control/ConsensusDisk.h>
#include <control/ConsensusRunner.h>

#include <core/RankedCondition.h>
#include <core/RankedLock.h>
#include <core/WorkerPool.h>
#include <wire/ConsensusTransport.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <map>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

const auto NAMES = std::vector<MemberName>{"m1", "m2", "m3"};

/// One member assembled as in the daemon, from disk, runner and transport. Its state is the
/// concatenation of all payloads.
class Member
{
public:
    Member(std::string folder, MemberName memberName, const Executor &executor)
        : path(std::move(folder))
        , name(std::move(memberName))
        , transport({.address = "127.0.0.1:0"},
                    {.received = [this](const Message &message) { this->runner.receive(message); },
                     .shouldDeliver = {},
                     .delay = {}})
        , runner(ConsensusSettings{.members = NAMES, .snapshotInterval = 20, .entriesKept = 5},
                 this->hooks(), executor, executor, makeSecureRandom())
    {
    }

    ~Member()
    {
        this->runner.stop();
        this->transport.stop();
    }

    Member(const Member &) = delete;
    auto operator=(const Member &) -> Member & = delete;

    auto awaitState(const std::string &expected) -> std::string
    {
        const auto deadline = std::chrono::steady_clock::now() + 10s;
        const RankedLock lock(this->mutex);
        while (this->state != expected && this->changed.waitUntil(this->mutex, deadline)) {
        }
        return this->state;
    }

    std::string path;
    MemberName name;
    ConsensusTransport transport;
    ConsensusRunner runner;

private:
    auto update(const std::string &value, bool append) -> void
    {
        const RankedLock lock(this->mutex);
        this->state = append ? this->state + value : value;
        this->changed.notifyAll();
    }

    auto hooks() -> ConsensusRunnerHooks
    {
        return {
            .send = [this](Message message) { this->transport.send(std::move(message)); },
            .committed = [this](LogIndex, Term,
                                const std::string &payload) { this->update(payload, true); },
            .installSnapshot = [this](const std::string &content, LogIndex,
                                      Term) { this->update(content, false); },
            .leadershipChanged = [](bool, Term) {},
            .proposalLost = [](LogIndex, Term) {},
            .makeSnapshot =
                [this] {
                    const RankedLock lock(this->mutex);
                    return this->state;
                },
            .diskChanged = [](const DiskStatus &) {},
        };
    }

    RankedMutex mutex{LockRank::FleetState};
    RankedCondition changed;
    std::string state ABSL_GUARDED_BY(mutex);
};

/// Three members on loopback.
class Cluster
{
public:
    Cluster()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "auburnrail-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        this->root = pattern;
        for (const auto &name : NAMES) {
            REQUIRE(ConsensusDisk::initialise(this->path(name), "test", name, NAMES).ok());
            this->start(name);
        }
    }

    ~Cluster()
    {
        this->members.clear();
        this->pool.stop();
        std::filesystem::remove_all(this->root);
    }

    [[nodiscard]] auto path(const MemberName &name) const -> std::string
    {
        return this->root + "/" + name;
    }

    auto start(const MemberName &name) -> void
    {
        auto disk = ConsensusDisk::open(this->path(name), "test", name, makeSecureRandom()() | 1);
        REQUIRE(disk.ok());
        auto &member = this->members[name];
        member = std::make_unique<Member>(this->path(name), name, this->pool.executor());
        REQUIRE(member->transport.start().ok());
        for (auto &[otherName, other] : this->members) {
            const auto address = [](const Member &target) {
                return "127.0.0.1:" + std::to_string(target.transport.port());
            };
            if (other && otherName != name) {
                REQUIRE(other->transport.addMember(name, address(*member)).ok());
                REQUIRE(member->transport.addMember(otherName, address(*other)).ok());
            }
        }
        REQUIRE(member->runner.start(ConsensusDisk::toStore(std::move(*disk))).ok());
    }

    /// The leader, once there is one.
    auto leader() -> Member &
    {
        for (auto attempt = 0; attempt < 500; ++attempt) {
            for (auto &[name, member] : this->members) {
                if (member && member->runner.isLeaderWithQuorum())
                    return *member;
            }
            std::this_thread::sleep_for(20ms);
        }
        throw std::runtime_error("no leader within 10 s");
    }

    auto propose(int count) -> void
    {
        for (auto number = 0; number < count; ++number) {
            const auto payload = std::to_string(this->proposed++) + ";";
            REQUIRE(this->leader().runner.propose(payload).ok());
            this->expected += payload;
        }
    }

    std::map<MemberName, std::unique_ptr<Member>> members;
    std::string expected;

private:
    WorkerPool pool{4};
    std::string root;
    int proposed = 0;
};

} // namespace

// Guards against entries that are lost or reordered between node, disk and transport.
TEST_CASE("members on loopback agree, restart from disk and replace a lost disk")
{
    auto cluster = Cluster();
    cluster.propose(30);
    for (const auto &name : NAMES)
        CHECK(cluster.members[name]->awaitState(cluster.expected) == cluster.expected);

    const auto leaderName = cluster.leader().name;
    const auto restarted = leaderName == "m1" ? "m2" : "m1";
    cluster.members[restarted].reset();
    cluster.propose(40);
    cluster.start(restarted);
    CHECK(cluster.members[restarted]->awaitState(cluster.expected) == cluster.expected);

    cluster.members[restarted].reset();
    std::filesystem::remove_all(cluster.path(restarted));
    cluster.start(restarted);
    CHECK(cluster.members[restarted]->awaitState(cluster.expected) == cluster.expected);
    auto voter = false;
    for (auto attempt = 0; attempt < 250 && !voter; ++attempt) {
        std::this_thread::sleep_for(20ms);
        voter = cluster.members[restarted]->runner.status().role == NodeRole::Follower;
    }
    CHECK(voter);
    cluster.propose(5);
    CHECK(cluster.members[restarted]->awaitState(cluster.expected) == cluster.expected);
}

// Guards against a second initialisation that would erase votes and entries.
TEST_CASE("an initialised member can't be initialised again")
{
    auto cluster = Cluster();
    cluster.members.clear();
    CHECK(ConsensusDisk::initialise(cluster.path("m1"), "test", "m1", NAMES).code()
          == absl::StatusCode::kAlreadyExists);
}

} // namespace auburnrail
