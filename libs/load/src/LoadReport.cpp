#include <load/LoadReport.h>

#include <http/JsonWriter.h>

namespace auburnrail {

namespace {

template <typename T>
auto writeMap(const std::map<std::string, T> &values) -> JsonWriter
{
    auto writer = JsonWriter();
    for (const auto &[name, value] : values) {
        if constexpr (std::is_integral_v<T>)
            writer.integer(name, static_cast<std::int64_t>(value));
        else
            writer.number(name, value);
    }
    return writer;
}

} // namespace

auto encodeLoadReport(const LoadReport &report) -> std::string
{
    auto writer = JsonWriter();
    const auto count = [&writer](const char *name, std::uint64_t value) {
        writer.integer(name, static_cast<std::int64_t>(value));
    };
    count("sent", report.sent);
    count("served", report.served);
    count("late_sends", report.lateSends);
    count("resends", report.resends);
    writer.object("outcomes", writeMap(report.outcomes));
    writer.number("throughput_per_second", report.throughputPerSecond);
    writer.number("replica_read_share", report.replicaReadShare);
    writer.number("failover_gap_ms", report.failoverGapMs);
    writer.number("worst_organisation_served_share", report.worstOrganisationServedShare);
    writer.text("worst_organisation", report.worstOrganisation);
    count("wrongful_refusals", report.wrongfulRefusals);
    count("acknowledged_writes", report.acknowledgedWrites);
    count("read_your_writes_violations", report.readYourWritesViolations);
    count("lost_writes", report.lostWrites);
    count("doubled_writes", report.doubledWrites);
    count("not_run_but_found", report.notRunButFound);
    count("torn_transactions", report.tornTransactions);
    count("incomplete_answers", report.incompleteAnswers);
    count("unverified_keys", report.unverifiedKeys);
    writer.object("latency_ms", writeMap(report.latencyMs));
    writer.object("served_shares", writeMap(report.servedShares));
    return writer.toString();
}

} // namespace auburnrail
