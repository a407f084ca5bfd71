#ifndef AUBURNRAIL_LEASE_LEASESIMULATION_H
#define AUBURNRAIL_LEASE_LEASESIMULATION_H

#include <lease/LeaseHolder.h>
#include <lease/LeaseTable.h>

#include <core/RandomSource.h>
#include <core/VirtualScheduler.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace auburnrail {

/// Simulates leaders and holders whose virtual clocks run at different rates and whose messages are
/// lost, duplicated and delayed. Commits one change per second, and checks every 10 ms that no
/// serving holder is behind a revision that was found in force.
class LeaseSimulation
{
public:
    explicit LeaseSimulation(std::uint64_t seed)
        : random(makeSeededRandom(seed))
    {
    }

    auto setFaults(bool enabled) -> void
    {
        this->faults = enabled;
    }

    auto run(Duration length) -> void
    {
        this->electLeader();
        for (auto instance = 0; instance < 4; ++instance)
            this->start("i" + std::to_string(instance), 1);
        this->every(std::chrono::seconds(1), [this] { ++this->committedRevision; });
        this->every(std::chrono::milliseconds(10), [this] { this->check(); });
        if (this->faults)
            this->every(std::chrono::seconds(7), [this] { this->electLeader(); });
        this->scheduler.runFor(length);
    }

    [[nodiscard]] auto violations() const -> std::size_t
    {
        return this->violationCount;
    }

    [[nodiscard]] auto committed() const -> Revision
    {
        return this->committedRevision;
    }

    [[nodiscard]] auto inForce() const -> Revision
    {
        return this->inForceRevision;
    }

private:
    struct Process
    {
        LeaseId id;
        double rate = 1;
        bool alive = true; ///< A dead one sends no more messages but may still serve.
        LeaseHolder holder;
    };

    struct Leader
    {
        explicit Leader(LeaseTableHooks hooks)
            : table(std::move(hooks))
        {
        }

        double rate = 1;
        LeaseTable table;
    };

    auto chance(std::uint64_t percent) -> bool
    {
        return this->faults && this->random() % 100 < percent;
    }

    /// Clock rates from 0.98 to 1.0192, so that any two differ by up to 4%.
    auto randomRate() -> double
    {
        return 0.98 * (1 + 0.04 * static_cast<double>(this->random() % 101) / 100);
    }

    auto clockOf(double rate) -> TimePoint
    {
        const auto real = this->scheduler.now().time_since_epoch().count();
        return TimePoint(std::chrono::hours(1))
               + Duration(static_cast<std::int64_t>(static_cast<double>(real) * rate));
    }

    auto every(Duration interval, const Task &task) -> void
    {
        (void)this->scheduler.executor().postAfter(interval, [this, interval, task] {
            task();
            this->every(interval, task);
        });
    }

    /// Runs `task` after a random message delay; with faults, possibly twice or never.
    auto deliver(const Task &task) -> void
    {
        if (this->chance(15))
            return;
        const auto copies = this->chance(15) ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy) {
            const auto longest = this->chance(10) ? 3000U : 20U;
            (void)this->scheduler.executor().postAfter(
                std::chrono::milliseconds(this->random() % longest), task);
        }
    }

    /// The previous leader keeps running, but without a quorum.
    auto electLeader() -> void
    {
        ++this->leaderNumber;
        const auto number = this->leaderNumber;
        auto next =
            std::make_shared<Leader>(LeaseTableHooks{.hasQuorum = [this, number](TimePoint) {
                return this->leaderNumber == number;
            }});
        next->rate = this->randomRate();
        next->table.beginLeadership(this->committedRevision, this->clockOf(next->rate));
        this->leaders.push_back(std::move(next));
    }

    auto start(const std::string &instance, std::uint64_t incarnation) -> void
    {
        auto process = std::make_shared<Process>();
        process->id = {instance, incarnation};
        process->rate = this->randomRate();
        this->processes.push_back(process);
        this->heartbeat(process);
    }

    auto heartbeat(const std::shared_ptr<Process> &process) -> void
    {
        if (this->chance(3)) {
            process->alive = false;
            this->start(process->id.instance, process->id.incarnation + 1);
            return;
        }
        const auto ticket = process->holder.beginHeartbeat(this->clockOf(process->rate));
        const auto isLate = this->leaders.size() > 1 && this->chance(10);
        const auto leader = this->leaders[this->leaders.size() - (isLate ? 2 : 1)];
        this->deliver([this, process, ticket, leader] {
            const auto grant =
                leader->table.renew(process->id, ticket.revision, this->clockOf(leader->rate));
            const auto revision = this->committedRevision;
            this->deliver([this, process, ticket, grant, revision] {
                // A response may lack the changes, for example when the update exceeds the size
                // limit.
                if (!this->chance(20))
                    process->holder.setRevision(revision);
                (void)process->holder.completeHeartbeat(ticket, grant,
                                                        this->clockOf(process->rate));
            });
        });
        (void)this->scheduler.executor().postAfter(std::chrono::milliseconds(500),
                                                   [this, process] { this->heartbeat(process); });
    }

    auto check() -> void
    {
        for (const auto &leader : this->leaders) {
            for (auto revision = this->inForceRevision + 1; revision <= this->committedRevision;
                 ++revision) {
                if (leader->table.isInForce(revision, this->clockOf(leader->rate)))
                    this->inForceRevision = revision;
            }
        }
        for (const auto &process : this->processes) {
            if (process->holder.holds(this->clockOf(process->rate))
                && process->holder.revision() < this->inForceRevision)
                ++this->violationCount;
        }
    }

    RandomSource random;
    VirtualScheduler scheduler;
    bool faults = true;
    std::vector<std::shared_ptr<Leader>> leaders;
    std::vector<std::shared_ptr<Process>> processes;
    int leaderNumber = 0;
    Revision committedRevision = 1;
    Revision inForceRevision = 0;
    std::size_t violationCount = 0;
};

} // namespace auburnrail

#endif
