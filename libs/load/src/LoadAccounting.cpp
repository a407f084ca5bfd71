#include <load/LoadAccounting.h>

#include <load/LoadSession.h>

#include <core/RankedLock.h>

#include <absl/strings/str_split.h>

#include <algorithm>

namespace auburnrail {

namespace {

/// A request that leaves later than this after its planned time is counted as late.
constexpr auto LATE_SEND = std::chrono::milliseconds(10);

auto toSeconds(Duration length) -> double
{
    return std::chrono::duration<double>(length).count();
}

auto toMillisFraction(Duration length) -> double
{
    return std::chrono::duration<double, std::milli>(length).count();
}

auto isRead(LoadKind kind) -> bool
{
    return kind == LoadKind::Read || kind == LoadKind::AgedRead;
}

auto isRateRefusal(ReasonCode reason) -> bool
{
    return reason == ReasonCode::RateLimited || reason == ReasonCode::QueueFull
           || reason == ReasonCode::DeadlineTooClose;
}

/// How often each mark stands in a value.
auto countMarks(const std::string &value) -> std::map<std::string, std::uint64_t>
{
    auto counts = std::map<std::string, std::uint64_t>();
    for (const auto mark : absl::StrSplit(value, ';', absl::SkipEmpty()))
        ++counts[std::string(mark) + ";"];
    return counts;
}

} // namespace

LoadAccounting::LoadAccounting(LoadProfile loadProfile)
    : profile(std::move(loadProfile))
    , organisations(this->profile.organisations.size())
    , services(this->profile.services.size())
{
}

auto LoadAccounting::began(const PlannedRequest &request, Duration at) -> void
{
    const RankedLock lock(this->mutex);
    ++this->totals.sent;
    if (at - request.at > LATE_SEND)
        ++this->totals.lateSends;
    if (!isRead(request.kind)) {
        auto &service = this->services[request.service];
        ++service.outstanding;
        if (!service.waitingSince)
            service.waitingSince = at;
    }
    ++this->organisations[request.organisation].sent;
}

auto LoadAccounting::sent(const PlannedRequest &request, Duration at) -> bool
{
    const RankedLock lock(this->mutex);
    const auto &limits = this->profile.organisations[request.organisation];
    const auto total = ++this->organisations[request.organisation].exchanges;
    return static_cast<double>(total) <= limits.burst + limits.rate * toSeconds(at);
}

auto LoadAccounting::ended(const LoadResult &result) -> void
{
    const RankedLock lock(this->mutex);
    const auto &answer = result.answer;
    ++this->totals
          .outcomes[std::string(nameOf(answer.outcome)) + " " + std::string(nameOf(answer.reason))];
    this->totals.resends += result.resends;
    this->totals.readYourWritesViolations += result.missesOwnWrite ? 1 : 0;
    this->totals.incompleteAnswers += result.isWhole ? 0 : 1;
    if (result.withinRate && isRateRefusal(answer.reason))
        ++this->totals.wrongfulRefusals;
    if (answer.outcome == Outcome::Ran) {
        ++this->totals.served;
        ++this->organisations[result.request.organisation].served;
        this->servedLatencies.push_back(result.endedAt - result.request.at);
    }
    if (!isRead(result.request.kind)) {
        this->endWrite(result);
    } else if (answer.outcome == Outcome::Ran) {
        ++this->servedReads;
        this->replicaReads += answer.servedByReplica ? 1 : 0;
    }
}

auto LoadAccounting::endWrite(const LoadResult &result) -> void
{
    const auto outcome = result.answer.outcome;
    this->writes[result.request.session].push_back(
        Write{.id = result.request.id, .kind = result.request.kind, .outcome = outcome});
    auto &service = this->services[result.request.service];
    --service.outstanding;
    if (outcome != Outcome::Ran)
        return;
    ++this->totals.acknowledgedWrites;
    if (service.waitingSince)
        service.longestGap = std::max(service.longestGap, result.endedAt - *service.waitingSince);
    service.waitingSince.reset();
    if (service.outstanding > 0)
        service.waitingSince = result.endedAt;
}

auto LoadAccounting::verify(std::size_t session, const std::optional<std::string> &value,
                            const std::optional<std::string> &pairValue) -> void
{
    const RankedLock lock(this->mutex);
    if (!value || !pairValue) {
        ++this->totals.unverifiedKeys;
        return;
    }
    const auto counts = countMarks(*value);
    const auto pairCounts = countMarks(*pairValue);
    const auto countOf = [](const auto &marks, const std::string &mark) {
        const auto found = marks.find(mark);
        return found == marks.end() ? std::uint64_t(0) : found->second;
    };
    const auto found = this->writes.find(session);
    if (found == this->writes.end())
        return;
    for (const auto &write : found->second) {
        const auto mark = writeMark(write.id);
        const auto count = countOf(counts, mark);
        if (count == 0 && write.outcome == Outcome::Ran)
            ++this->totals.lostWrites;
        if (count > 1)
            ++this->totals.doubledWrites;
        if (count > 0 && write.outcome == Outcome::NotRun)
            ++this->totals.notRunButFound;
        if (write.kind == LoadKind::Transaction && countOf(pairCounts, mark) != count)
            ++this->totals.tornTransactions;
    }
}

auto LoadAccounting::report(Duration length) const -> LoadReport
{
    const RankedLock lock(this->mutex);
    auto report = this->totals;
    report.throughputPerSecond = static_cast<double>(report.served) / toSeconds(length);
    if (this->servedReads > 0) {
        report.replicaReadShare =
            static_cast<double>(this->replicaReads) / static_cast<double>(this->servedReads);
    }
    for (const auto &service : this->services) {
        auto gap = service.longestGap;
        // Writes that were sent and never served are a gap that lasts to the end of the run.
        if (service.waitingSince && service.outstanding == 0)
            gap = std::max(gap, length - *service.waitingSince);
        report.failoverGapMs = std::max(report.failoverGapMs, toMillisFraction(gap));
    }
    for (auto i = std::size_t(0); i < this->organisations.size(); ++i) {
        const auto &name = this->profile.organisations[i].name;
        const auto share = this->servedShare(i, length);
        report.servedShares[name] = share;
        if (share < report.worstOrganisationServedShare) {
            report.worstOrganisationServedShare = share;
            report.worstOrganisation = name;
        }
    }
    report.latencyMs = this->latencies();
    return report;
}

auto LoadAccounting::servedShare(std::size_t organisation, Duration length) const -> double
{
    const auto &counts = this->organisations[organisation];
    const auto &limits = this->profile.organisations[organisation];
    const auto allowed = limits.burst + limits.rate * toSeconds(length);
    const auto sentShare =
        std::min(1.0, allowed / std::max(1.0, static_cast<double>(counts.exchanges)));
    // An organisation that sends more than it may is entitled to no more than its limits.
    const auto entitled = static_cast<double>(counts.sent) * sentShare;
    return entitled <= 0 ? 1 : std::min(1.0, static_cast<double>(counts.served) / entitled);
}

auto LoadAccounting::latencies() const -> std::map<std::string, double>
{
    auto sorted = this->servedLatencies;
    std::sort(sorted.begin(), sorted.end());
    auto result = std::map<std::string, double>();
    if (sorted.empty())
        return result;
    for (const auto &[name, quantile] : {std::pair("p50", 0.5), std::pair("p90", 0.9),
                                         std::pair("p99", 0.99), std::pair("max", 1.0)}) {
        const auto place = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
        result[name] = toMillisFraction(sorted[std::min(place, sorted.size() - 1)]);
    }
    return result;
}

} // namespace auburnrail
