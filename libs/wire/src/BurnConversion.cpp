#include "BurnConversion.h"

#include "EnumConversion.h"

#include <algorithm>

namespace auburnrail::detail {

namespace {

auto reasonOf(std::int32_t number) -> ReasonCode
{
    const auto found =
        std::find_if(ENUM_NAMES<ReasonCode>.begin(), ENUM_NAMES<ReasonCode>.end(),
                     [&](const auto &row) { return toWireEnum(row.value) == number; });
    return found == ENUM_NAMES<ReasonCode>.end() ? ReasonCode::InternalError : found->value;
}

} // namespace

auto toBurnMessage(const BurnContribution &contribution) -> thriftgen::BurnContributionMessage
{
    auto message = thriftgen::BurnContributionMessage();
    message.source = contribution.source;
    message.startMillis = contribution.startMillis;
    for (const auto &row : contribution.rows) {
        auto &target = message.rows.emplace_back();
        target.objective = row.key.objective;
        target.serviceName = row.key.service;
        target.organisation = row.key.organisation;
        target.reason = toWireEnum(row.key.reason);
        target.good = static_cast<std::int64_t>(row.count.good);
        target.bad = static_cast<std::int64_t>(row.count.bad);
    }
    return message;
}

auto fromBurnMessage(const thriftgen::BurnContributionMessage &message) -> BurnContribution
{
    auto contribution =
        BurnContribution{.source = message.source, .startMillis = message.startMillis, .rows = {}};
    for (const auto &row : message.rows) {
        // A negative count can't come from an entry and must not become a huge one.
        contribution.rows.push_back(
            BurnRow{BurnKey{row.objective, row.serviceName, row.organisation, reasonOf(row.reason)},
                    BurnCount{static_cast<std::uint64_t>(std::max<std::int64_t>(row.good, 0)),
                              static_cast<std::uint64_t>(std::max<std::int64_t>(row.bad, 0))}});
    }
    return contribution;
}

} // namespace auburnrail::detail
