#include <observe/BurnReport.h>

#include <core/RankedLock.h>

#include <observe/BurnRule.h>

#include <algorithm>
#include <utility>

namespace auburnrail {

namespace {

constexpr auto MINUTE_MILLIS = std::int64_t(60'000);
/// Part of bad events that counts as the budget of a target of 1. Rates are divided by the budget,
/// and JSON has no text for the result of a division by 0.
constexpr auto SMALLEST_BUDGET = 1e-9;
constexpr auto SPENDERS_SHOWN = std::size_t(10);

auto badPart(BurnCount count) -> double
{
    const auto total = count.good + count.bad;
    return total == 0 ? 0.0 : static_cast<double>(count.bad) / static_cast<double>(total);
}

} // namespace

BurnReport::BurnReport(std::string source)
    : source(std::move(source))
{
}

auto BurnReport::setObjectives(std::vector<BurnObjective> list) -> void
{
    const RankedLock lock(this->mutex);
    this->objectives = std::move(list);
}

auto BurnReport::recordRequest(const RequestSample &sample, std::int64_t nowMillis) -> void
{
    const RankedLock lock(this->mutex);
    for (const auto &objective : this->objectives) {
        switch (objective.kind) {
        case ObjectiveKind::Availability:
            this->count(objective, sample, !sample.failed, nowMillis);
            break;
        case ObjectiveKind::Latency:
            if (sample.reason == ReasonCode::Completed)
                this->count(objective, sample, sample.latency <= objective.threshold, nowMillis);
            break;
        case ObjectiveKind::WrongfulRefusals:
            this->count(objective, sample, !sample.wrongful, nowMillis);
            break;
        case ObjectiveKind::FailoverGap:
            break;
        }
    }
}

auto BurnReport::recordFailover(std::string_view service, Duration gap, ReasonCode reason,
                                std::int64_t nowMillis) -> void
{
    const auto sample = RequestSample{.service = std::string(service), .reason = reason};
    const RankedLock lock(this->mutex);
    for (const auto &objective : this->objectives) {
        if (objective.kind == ObjectiveKind::FailoverGap)
            this->count(objective, sample, gap <= objective.threshold, nowMillis);
    }
}

auto BurnReport::contributions(int minutes, std::int64_t nowMillis) -> std::vector<BurnContribution>
{
    auto list = std::vector<BurnContribution>();
    const RankedLock lock(this->mutex);
    this->own.visitLast(minutes, nowMillis, [&](std::int64_t start, const auto &rows) {
        auto contribution = BurnContribution{.source = this->source, .startMillis = start};
        for (const auto &[key, count] : rows)
            contribution.rows.push_back({key, count});
        list.push_back(std::move(contribution));
    });
    return list;
}

auto BurnReport::merge(const BurnContribution &contribution, std::int64_t nowMillis) -> bool
{
    const RankedLock lock(this->mutex);
    const auto oldest = nowMillis - MERGE_MINUTES * MINUTE_MILLIS;
    // Clocks of instances may differ by some seconds; a minute far ahead would push out all others.
    if (contribution.startMillis < oldest || contribution.startMillis > nowMillis + MINUTE_MILLIS)
        return false;
    while (!this->merged.empty() && this->merged.begin()->first < oldest)
        this->merged.erase(this->merged.begin());
    auto &known = this->merged[contribution.startMillis][contribution.source];
    for (const auto &row : contribution.rows) {
        auto &count = known[row.key];
        const auto added = BurnCount{row.count.good - std::min(row.count.good, count.good),
                                     row.count.bad - std::min(row.count.bad, count.bad)};
        count.good += added.good;
        count.bad += added.bad;
        if (added != BurnCount())
            this->addToAll(row.key, added, contribution.startMillis);
    }
    return true;
}

auto BurnReport::evaluate(std::int64_t nowMillis) -> std::vector<BurnStatus>
{
    auto list = std::vector<BurnStatus>();
    const RankedLock lock(this->mutex);
    for (const auto &objective : this->objectives)
        list.push_back(this->evaluateOne(objective, nowMillis));
    return list;
}

auto BurnReport::count(const BurnObjective &objective, const RequestSample &sample, bool good,
                       std::int64_t nowMillis) -> void
{
    if (objective.applies && !objective.applies(sample.service, sample.organisation))
        return;
    const auto key = BurnKey{objective.name, sample.service, sample.organisation, sample.reason};
    const auto added = good ? BurnCount{1, 0} : BurnCount{0, 1};
    this->own.add(key, added, nowMillis);
    this->addToAll(key, added, nowMillis);
}

auto BurnReport::addToAll(const BurnKey &key, BurnCount count, std::int64_t atMillis) -> void
{
    for (auto &buckets : this->all)
        buckets.add(key, count, atMillis);
}

auto BurnReport::sum(const BurnObjective &objective, BurnWidth width, std::int64_t buckets,
                     std::int64_t nowMillis) const -> BurnCount
{
    auto total = BurnCount();
    const auto &table = this->all[static_cast<std::size_t>(width)];
    table.visitLast(buckets, nowMillis, [&](std::int64_t, const auto &rows) {
        const auto first = rows.lower_bound(BurnKey{.objective = objective.name});
        for (auto row = first; row != rows.end() && row->first.objective == objective.name; ++row) {
            total.good += row->second.good;
            total.bad += row->second.bad;
        }
    });
    return total;
}

auto BurnReport::evaluateOne(const BurnObjective &objective, std::int64_t nowMillis) const
    -> BurnStatus
{
    auto status =
        BurnStatus{.objective = objective.name, .kind = objective.kind, .target = objective.target};
    const auto allowed = std::max(1.0 - objective.target, SMALLEST_BUDGET);
    const auto hours = std::chrono::duration_cast<std::chrono::hours>(objective.window).count();
    const auto buckets = std::max<std::int64_t>(hours, 1);
    status.count = this->sum(objective, BurnWidth::Hour, buckets, nowMillis);
    status.remainingBudget = 1.0 - badPart(status.count) / allowed;
    for (const auto &rule : BURN_RULES) {
        auto rate = BurnRate{.rule = std::string(rule.name), .factor = rule.factor};
        rate.shortRate =
            badPart(this->sum(objective, rule.width, rule.shortBuckets, nowMillis)) / allowed;
        rate.longRate =
            badPart(this->sum(objective, rule.width, rule.longBuckets, nowMillis)) / allowed;
        rate.burning = rate.shortRate >= rule.factor && rate.longRate >= rule.factor;
        status.rates.push_back(std::move(rate));
    }
    status.spenders = this->spenders(objective, buckets, nowMillis);
    return status;
}

auto BurnReport::spenders(const BurnObjective &objective, std::int64_t buckets,
                          std::int64_t nowMillis) const -> std::vector<BurnSpender>
{
    auto bad = std::map<BurnKey, std::uint64_t>();
    auto total = std::uint64_t(0);
    const auto &table = this->all[static_cast<std::size_t>(BurnWidth::Hour)];
    table.visitLast(buckets, nowMillis, [&](std::int64_t, const auto &rows) {
        for (const auto &[key, count] : rows) {
            if (key.objective != objective.name || count.bad == 0)
                continue;
            bad[key] += count.bad;
            total += count.bad;
        }
    });
    auto list = std::vector<BurnSpender>();
    for (const auto &[key, count] : bad) {
        const auto part = static_cast<double>(count) / static_cast<double>(total);
        list.push_back({key.service, key.organisation, key.reason, count, part});
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const auto &left, const auto &right) { return left.bad > right.bad; });
    list.resize(std::min(list.size(), SPENDERS_SHOWN));
    return list;
}

} // namespace auburnrail
