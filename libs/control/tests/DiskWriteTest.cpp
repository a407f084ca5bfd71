#include <control/ConsensusRunner.h>

#include <consensus/ConsensusNode.h>

#include <core/RankedCondition.h>
#include <core/RankedLock.h>
#include <core/WorkerPool.h>

#include <catch2/catch.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto WAIT_LIMIT = 10s;
constexpr auto STALL_LIMIT = 50ms;

/// The only member of a cluster, on a disk that can be made to refuse writes or to stall.
class SingleMember
{
public:
    SingleMember()
        : runner(ConsensusSettings{.members = {"m1"}, .diskStallLimit = STALL_LIMIT}, this->hooks(),
                 this->workers.executor(), this->diskWorker.executor(), makeSecureRandom())
    {
        auto store = DurableStore{
            .self = MemberId{"m1", 0},
            .restore =
                [] { return absl::StatusOr<DurableState>(ConsensusNode::bootstrap({"m1"})); },
            .persist =
                [this](const PersistBatch &batch) {
                    return this->persist(batch);
                }};
        REQUIRE(this->runner.start(std::move(store)).ok());
        this->await([this] { return this->runner.isLeaderWithQuorum(); });
    }

    ~SingleMember()
    {
        this->setDisk(absl::OkStatus(), false);
        this->diskWorker.stop();
        this->runner.stop();
        this->workers.stop();
    }

    SingleMember(const SingleMember &) = delete;
    auto operator=(const SingleMember &) -> SingleMember & = delete;

    auto setDisk(absl::Status status, bool stalls) -> void
    {
        const RankedLock lock(this->mutex);
        this->refusal = std::move(status);
        this->stalled = stalls;
        this->changed.notifyAll();
    }

    /// Waits until `done` holds; it is called without a lock.
    auto await(const std::function<auto()->bool> &done) -> void
    {
        const auto deadline = std::chrono::steady_clock::now() + WAIT_LIMIT;
        while (!done()) {
            REQUIRE(std::chrono::steady_clock::now() < deadline);
            std::this_thread::sleep_for(5ms);
        }
    }

    auto propose(const std::string &payload) -> void
    {
        REQUIRE(this->runner.propose(payload).ok());
    }

    auto status() -> NodeStatus
    {
        return this->runner.status();
    }

    auto committed() -> std::vector<std::string>
    {
        const RankedLock lock(this->mutex);
        return this->payloads;
    }

    auto diskChanges() -> std::vector<DiskStatus>
    {
        const RankedLock lock(this->mutex);
        return this->changes;
    }

    /// Commands written so far, in the order of the writes.
    auto written() -> std::vector<std::string>
    {
        const RankedLock lock(this->mutex);
        return this->disk;
    }

private:
    auto persist(const PersistBatch &batch) -> absl::Status
    {
        const RankedLock lock(this->mutex);
        while (this->stalled)
            this->changed.wait(this->mutex);
        if (!this->refusal.ok())
            return this->refusal;
        for (const auto &entry : batch.appended) {
            if (entry.kind == EntryKind::Command)
                this->disk.push_back(entry.payload);
        }
        return absl::OkStatus();
    }

    auto hooks() -> ConsensusRunnerHooks
    {
        return {
            .send = [](const Message &) {},
            .committed =
                [this](LogIndex, Term, const std::string &payload) {
                    const RankedLock lock(this->mutex);
                    this->payloads.push_back(payload);
                },
            .installSnapshot = [](const std::string &, LogIndex, Term) {},
            .leadershipChanged = [](bool, Term) {},
            .proposalLost = [](LogIndex, Term) {},
            .makeSnapshot = [] { return std::string(); },
            .diskChanged =
                [this](const DiskStatus &status) {
                    const RankedLock lock(this->mutex);
                    this->changes.push_back(status);
                },
        };
    }

    RankedMutex mutex{LockRank::FleetState};
    RankedCondition changed;
    absl::Status refusal ABSL_GUARDED_BY(mutex);
    bool stalled ABSL_GUARDED_BY(mutex) = false;
    std::vector<std::string> disk ABSL_GUARDED_BY(mutex);
    std::vector<std::string> payloads ABSL_GUARDED_BY(mutex);
    std::vector<DiskStatus> changes ABSL_GUARDED_BY(mutex);
    WorkerPool workers{2};
    WorkerPool diskWorker{1};
    ConsensusRunner runner;
};

} // namespace

// Guards against a stalled sync that holds up every thread of the member that asks for its state.
TEST_CASE("a stalled disk delays only what has to be written")
{
    auto member = SingleMember();
    member.setDisk(absl::OkStatus(), true);
    member.propose("a");
    member.propose("b");
    member.await([&] { return member.status().diskBlocked; });
    member.await([&] { return member.diskChanges().size() == 1; });
    CHECK(member.diskChanges().front().blocked);
    CHECK(member.diskChanges().front().age >= STALL_LIMIT);
    CHECK(member.committed().empty());
    member.setDisk(absl::OkStatus(), false);
    member.await([&] { return member.committed().size() == 2; });
    CHECK(member.written() == std::vector<std::string>{"a", "b"});
    member.await([&] { return member.diskChanges().size() == 2; });
    CHECK_FALSE(member.diskChanges().back().blocked);
}

// Guards against a member that ends, or loses or doubles an entry, because its disk is full.
TEST_CASE("a refused write is repeated until the disk takes it")
{
    auto member = SingleMember();
    member.setDisk(absl::ResourceExhaustedError("log: write failed: no space"), false);
    member.propose("a");
    member.await([&] { return member.diskChanges().size() == 1; });
    CHECK(member.diskChanges().front().lastError.code() == absl::StatusCode::kResourceExhausted);
    member.propose("b");
    std::this_thread::sleep_for(300ms);
    CHECK(member.committed().empty());
    CHECK(member.status().durableIndex < member.status().lastIndex);
    member.setDisk(absl::OkStatus(), false);
    member.await([&] { return member.committed().size() == 2; });
    CHECK(member.written() == std::vector<std::string>{"a", "b"});
}

// Guards against a shutdown that waits for a disk that takes no bytes.
TEST_CASE("a member stops while its disk refuses writes")
{
    auto member = SingleMember();
    member.setDisk(absl::ResourceExhaustedError("no space"), false);
    member.propose("a");
    member.await([&] { return member.status().diskBlocked; });
}

} // namespace auburnrail
