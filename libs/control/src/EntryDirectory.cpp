#include <control/EntryDirectory.h>

#include <core/RankedLock.h>

namespace auburnrail {

auto EntryDirectory::record(EntryRecord record) -> void
{
    const RankedLock lock(this->mutex);
    this->endOutdatedLives(record.lastSeenAt);
    if (this->live.empty()) {
        this->collectingSince = record.lastSeenAt;
        this->peers = nullptr;
    }
    auto &row = this->records[record.instance];
    this->endLife(row);
    row = std::move(record);
    this->live.emplace(row.lastSeenAt, row.instance);
    ++this->liveInZone[row.zone];
}

auto EntryDirectory::countInZone(const std::string &zone, TimePoint now) -> std::size_t
{
    const RankedLock lock(this->mutex);
    this->endOutdatedLives(now);
    const auto count = this->liveInZone.find(zone);
    return count == this->liveInZone.end() ? 0 : count->second;
}

auto EntryDirectory::relayPeers(TimePoint now) -> std::shared_ptr<const std::vector<RelayPeer>>
{
    const RankedLock lock(this->mutex);
    this->endOutdatedLives(now);
    if (this->live.empty() || now - this->collectingSince < PEERS_SETTLE_MS)
        return nullptr;
    if (this->peers != nullptr && now - this->peersMadeAt < PEERS_INTERVAL_MS)
        return this->peers;
    auto list = std::vector<RelayPeer>();
    auto countOfZone = std::map<std::string, std::size_t>();
    for (const auto &[name, record] : this->records) {
        const auto isLive = this->live.contains({record.lastSeenAt, record.instance});
        if (!isLive || record.relayAddress.empty())
            continue;
        if (++countOfZone[record.zone] <= MAX_PEERS_IN_ZONE)
            list.push_back(RelayPeer{record.instance, record.zone, record.relayAddress});
    }
    this->peersMadeAt = now;
    if (this->peers == nullptr || *this->peers != list)
        this->peers = std::make_shared<const std::vector<RelayPeer>>(std::move(list));
    return this->peers;
}

auto EntryDirectory::list(TimePoint now) -> std::vector<EntryRecord>
{
    const RankedLock lock(this->mutex);
    this->endOutdatedLives(now);
    std::erase_if(this->records,
                  [&](const auto &entry) { return now - entry.second.lastSeenAt > LIFETIME_MIN; });
    auto result = std::vector<EntryRecord>();
    for (const auto &[name, record] : this->records)
        result.push_back(record);
    return result;
}

auto EntryDirectory::endLife(const EntryRecord &record) -> void
{
    if (this->live.erase({record.lastSeenAt, record.instance}) == 0)
        return;
    const auto count = this->liveInZone.find(record.zone);
    if (--count->second == 0)
        this->liveInZone.erase(count);
}

auto EntryDirectory::endOutdatedLives(TimePoint now) -> void
{
    while (!this->live.empty() && now - this->live.begin()->first > LIVE_MS) {
        const auto name = this->live.begin()->second;
        this->endLife(this->records.at(name));
    }
}

} // namespace auburnrail
