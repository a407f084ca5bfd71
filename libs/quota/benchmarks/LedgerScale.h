#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_LEDGERSCALE_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_LEDGERSCALE_H

#include <http/JsonWriter.h>

#include <cstddef>

namespace auburnrail {

/// Measures time and memory of a ledger with `organisations`, each active on `holdersEach` of
/// `holders` holders.
[[nodiscard]] auto measureLedger(std::size_t organisations, std::size_t holders,
                                 std::size_t holdersEach) -> JsonWriter;

} // namespace auburnrail

#endif
