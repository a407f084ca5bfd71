#include <consensus/ConsensusNode.h>
#include <wire/ConsensusCodec.h>

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

constexpr auto PAYLOAD_BYTES = std::size_t(200);
constexpr auto MEASURED_ENTRIES = 500;

/// Runs all members in one process, without disk or sockets, on a simulated clock.
class BenchmarkCluster
{
public:
    explicit BenchmarkCluster(std::size_t count)
    {
        auto names = std::vector<MemberName>();
        for (auto number = std::size_t(1); number <= count; ++number)
            names.push_back("control-" + std::to_string(number));
        for (auto number = std::size_t(0); number < count; ++number) {
            this->numbers.emplace(names[number], number);
            this->nodes.push_back(std::make_unique<ConsensusNode>(
                ConsensusSettings{.self = {names[number], 0}, .members = names},
                this->hooks(number), ConsensusNode::bootstrap(names), this->now));
        }
        while (this->leader().role() != NodeRole::Leader) {
            this->now += 20ms;
            this->leader().tick(this->now);
            this->deliver();
        }
    }

    /// Commits one entry on the leader and returns the messages exchanged for it.
    auto replicate() -> std::vector<Message>
    {
        // Advances the clock for each entry: no heartbeat is due, and the followers keep accepting
        // entries.
        this->now += 1ms;
        const auto index = this->leader().propose(std::string(PAYLOAD_BYTES, 'x'), this->now);
        auto messages = this->deliver();
        if (!index.ok() || this->leader().commitIndex() < *index)
            std::abort();
        for (const auto number : std::exchange(this->snapshotsDue, {})) {
            auto &node = *this->nodes[number];
            node.storeSnapshot(node.commitIndex(), "", this->now);
        }
        this->runDisks();
        return messages;
    }

private:
    auto leader() -> ConsensusNode &
    {
        return *this->nodes.front();
    }

    /// Completes all writes.
    auto runDisks() -> void
    {
        while (!this->writing.empty()) {
            for (const auto number : std::exchange(this->writing, {}))
                this->nodes[number]->persisted(this->now);
        }
    }

    auto deliver() -> std::vector<Message>
    {
        auto delivered = std::vector<Message>();
        this->runDisks();
        while (!this->queue.empty()) {
            auto message = std::move(this->queue.front());
            this->queue.pop_front();
            this->nodes[this->numbers.at(message.to.name)]->receive(message, this->now);
            delivered.push_back(std::move(message));
            this->runDisks();
        }
        return delivered;
    }

    auto hooks(std::size_t number) -> ConsensusHooks
    {
        return {
            .persist = [this, number](const PersistBatch &) { this->writing.push_back(number); },
            .send = [this](Message message) { this->queue.push_back(std::move(message)); },
            .committed = [](LogIndex, Term, const std::string &) {},
            .installSnapshot = [](const std::string &, LogIndex, Term) {},
            .leadershipChanged = [](bool, Term) {},
            .proposalLost = [](LogIndex, Term) {},
            .snapshotDue = [this, number](LogIndex) { this->snapshotsDue.push_back(number); },
            .randomTimeout = [] { return Duration(500ms); },
        };
    }

    TimePoint now;
    std::deque<Message> queue;
    std::vector<std::size_t> snapshotsDue;
    std::vector<std::size_t> writing; ///< Nodes with a batch under way.
    std::map<MemberName, std::size_t> numbers;
    std::vector<std::unique_ptr<ConsensusNode>> nodes;
};

/// CPU time of all members together to replicate one entry of 200 bytes, without disk, encoding and
/// sockets. Counters: messages per entry, and their encoded bytes without frames.
auto replicateEntry(benchmark::State &state) -> void
{
    auto cluster = BenchmarkCluster(static_cast<std::size_t>(state.range(0)));
    auto messages = std::size_t(0);
    auto bytes = std::size_t(0);
    for (auto number = 0; number < MEASURED_ENTRIES; ++number) {
        for (const auto &message : cluster.replicate()) {
            ++messages;
            bytes += encodeMessage(message).size();
        }
    }
    for ([[maybe_unused]] auto _ : state)
        cluster.replicate();
    state.counters["messages"] = static_cast<double>(messages) / MEASURED_ENTRIES;
    state.counters["bytes"] = static_cast<double>(bytes) / MEASURED_ENTRIES;
}

BENCHMARK(replicateEntry)->ArgName("members")->Arg(3)->Arg(5)->Arg(7)->Arg(9);

} // namespace

} // namespace auburnrail
