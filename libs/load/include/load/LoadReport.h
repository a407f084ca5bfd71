#ifndef AUBURNRAIL_LOAD_LOADREPORT_H
#define AUBURNRAIL_LOAD_LOADREPORT_H

#include <cstdint>
#include <map>
#include <string>

namespace auburnrail {

/// Figures of one run. Times in milliseconds.
struct LoadReport
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t lateSends = 0;
    std::uint64_t resends = 0;
    std::map<std::string, std::uint64_t> outcomes; ///< "outcome reason" to count.
    double throughputPerSecond = 0;
    double replicaReadShare = 0;
    double failoverGapMs = 0;
    double worstOrganisationServedShare = 1;
    std::string worstOrganisation;
    std::uint64_t wrongfulRefusals = 0;
    std::uint64_t readYourWritesViolations = 0;
    std::uint64_t lostWrites = 0;
    std::uint64_t doubledWrites = 0;
    std::uint64_t notRunButFound = 0;
    std::uint64_t tornTransactions = 0;
    std::uint64_t incompleteAnswers = 0;
    std::uint64_t unverifiedKeys = 0; ///< Keys that could not be read back.
    std::uint64_t acknowledgedWrites = 0;
    std::map<std::string, double>
        latencyMs; ///< By quantile, from the planned time; served requests.
    std::map<std::string, double> servedShares; ///< By organisation.
};

/// The report as one JSON object.
[[nodiscard]] auto encodeLoadReport(const LoadReport &report) -> std::string;

} // namespace auburnrail

#endif
