#include "ExploredServer.h"

#include <algorithm>
#include <iterator>

namespace auburnrail::testing {

auto ExploredServer::fence(std::uint64_t newTerm) -> FenceResponse
{
    const auto wasPrimary = this->isPrimary;
    const auto isAccepted = newTerm > this->term || (newTerm == this->term && !wasPrimary);
    // A late order of the server's own term, which it follows or is about to, changes nothing.
    if (newTerm > this->term) {
        this->term = newTerm;
        this->isPrimary = false;
        this->isPaused = true;
        this->waiting.clear();
    }
    return FenceResponse{.accepted = isAccepted,
                         .position = this->position(),
                         .highestTerm = this->term,
                         .wasPrimary = wasPrimary};
}

auto ExploredServer::promote(std::uint64_t newTerm) -> bool
{
    if (newTerm < this->term || this->refusesOrders)
        return false;
    if (newTerm > this->term || !this->isPrimary) {
        this->term = newTerm;
        this->isPrimary = true;
        this->isPaused = false;
        this->confirmed.clear();
    }
    return true;
}

auto ExploredServer::follow(std::uint64_t newTerm, const std::string &primary) -> bool
{
    const auto isLed = newTerm == this->term && this->isPrimary;
    if (newTerm < this->term || isLed || this->refusesOrders)
        return false;
    this->term = newTerm;
    this->isPrimary = false;
    this->isPaused = false;
    this->follows = primary;
    this->waiting.clear();
    return true;
}

auto ExploredServer::platformFenceTerm() const -> std::uint64_t
{
    return this->term + 1;
}

auto ExploredServer::demote(std::uint64_t newTerm) -> void
{
    if (!this->isPrimary || newTerm <= this->term)
        return;
    this->becomeReplica("");
    this->term = newTerm;
}

auto ExploredServer::pause(std::uint64_t newTerm) -> void
{
    if (this->isPrimary || newTerm <= this->term)
        return;
    this->isPaused = true;
    this->term = newTerm;
}

auto ExploredServer::resume() -> void
{
    this->isPaused = false;
}

auto ExploredServer::becomeReplica(const std::string &primary) -> void
{
    this->isPrimary = false;
    this->follows = primary;
    this->waiting.clear();
}

auto ExploredServer::dropWhatLacks(const ExploredServer &primary) -> void
{
    const auto own =
        std::mismatch(this->log.begin(), this->log.end(), primary.log.begin(), primary.log.end())
            .first;
    this->log.erase(own, this->log.end());
}

auto ExploredServer::receiveFrom(const ExploredServer &primary, std::size_t limit) -> std::size_t
{
    this->dropWhatLacks(primary);
    const auto missing = primary.log.size() - this->log.size();
    std::copy_n(primary.log.begin() + static_cast<std::ptrdiff_t>(this->log.size()),
                std::min(missing, limit), std::back_inserter(this->log));
    return this->log.size();
}

auto ExploredServer::position() const -> Position
{
    return this->log.empty() ? Position() : Position{this->log.back().term, this->log.size()};
}

auto ExploredServer::holds(WriteId id) const -> bool
{
    return std::any_of(this->log.begin(), this->log.end(),
                       [id](const ExploredWrite &write) { return write.id == id; });
}

} // namespace auburnrail::testing
