#include <entry/BurnSender.h>

#include <observe/BurnReport.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

static_assert(BurnSender::ALL_MINUTES == BurnReport::MERGE_MINUTES,
              "an entry sends all minutes that control merges");

BurnSender::BurnSender(Source countSource)
    : source(std::move(countSource))
{
}

auto BurnSender::begin(const std::string &member, TimePoint now) -> std::vector<BurnContribution>
{
    if (member != this->receiver) {
        this->receiver = member;
        this->sendAllMinutes = true;
        this->pending.clear();
    }
    if (this->pending.empty() && (!this->dueAt || now >= *this->dueAt)) {
        this->pending = this->source(this->sendAllMinutes ? ALL_MINUTES : RECENT_MINUTES);
        std::sort(this->pending.begin(), this->pending.end(),
                  [](const BurnContribution &left, const BurnContribution &right) {
                      return left.startMillis < right.startMillis;
                  });
        this->dueAt = now + SEND_INTERVAL;
        // end() sets it again if the heartbeat fails.
        this->sendAllMinutes = false;
    }
    return this->takePart();
}

auto BurnSender::takePart() -> std::vector<BurnContribution>
{
    auto part = std::vector<BurnContribution>();
    auto left = MAX_ROWS;
    while (!this->pending.empty() && left > 0) {
        auto &next = this->pending.back();
        const auto count = std::min(left, next.rows.size());
        const auto from = next.rows.end() - static_cast<std::ptrdiff_t>(count);
        part.push_back(BurnContribution{.source = next.source,
                                        .startMillis = next.startMillis,
                                        .rows = std::vector<BurnRow>(from, next.rows.end())});
        next.rows.erase(from, next.rows.end());
        left -= count;
        if (next.rows.empty())
            this->pending.pop_back();
    }
    return part;
}

auto BurnSender::end(bool granted, TimePoint now) -> void
{
    if (granted)
        return;
    this->pending.clear();
    this->sendAllMinutes = true;
    this->dueAt = now + RETRY_INTERVAL;
}

} // namespace auburnrail
