#include <failover/detail/EvidenceWatch.h>

#include <algorithm>

namespace auburnrail::detail {

auto EvidenceWatch::lacksProof(TimePoint since) -> void
{
    if (!this->began)
        this->began = since;
}

auto EvidenceWatch::end(TimePoint now) -> std::optional<EvidenceWaitStage>
{
    const auto wasReported = this->isReported();
    this->ended = this->waited(now);
    this->began.reset();
    this->nextReportAt.reset();
    return wasReported ? std::optional(EvidenceWaitStage::Ended) : std::nullopt;
}

auto EvidenceWatch::takeReport(const FailoverLimits &limits, TimePoint now)
    -> std::optional<EvidenceWaitStage>
{
    const auto isDue =
        this->began && now >= this->nextReportAt.value_or(*this->began + limits.evidenceWaitNotice);
    if (!isDue)
        return std::nullopt;
    const auto stage = this->nextReportAt ? EvidenceWaitStage::Lasts : EvidenceWaitStage::Began;
    this->nextReportAt = now + limits.evidenceWaitInterval;
    return stage;
}

auto EvidenceWatch::isNew() const -> bool
{
    return !this->began && !this->ended;
}

auto EvidenceWatch::since() const -> std::optional<TimePoint>
{
    return this->began;
}

auto EvidenceWatch::waited(TimePoint now) const -> Duration
{
    const auto before = this->ended.value_or(Duration::zero());
    if (!this->began)
        return before;
    return before + std::max(Duration::zero(), Duration(now - *this->began));
}

auto EvidenceWatch::isReported() const -> bool
{
    return this->nextReportAt.has_value();
}

} // namespace auburnrail::detail
