#ifndef AUBURNRAIL_CORE_RANDOMSOURCE_H
#define AUBURNRAIL_CORE_RANDOMSOURCE_H

#include <cstdint>
#include <functional>

namespace auburnrail {

/// Source of uniformly distributed 64-bit values. Decisions draw randomness only from here, so that
/// a run with the same seed repeats.
using RandomSource = std::function<auto()->std::uint64_t>;

/// Deterministic generator (SplitMix64) started from `seed`. Not for secrets.
/// Thread rule: the returned source belongs to one caller at a time.
[[nodiscard]] auto makeSeededRandom(std::uint64_t seed) -> RandomSource;

/// Cryptographically secure source of the operating system. Safe from any thread.
[[nodiscard]] auto makeSecureRandom() -> RandomSource;

} // namespace auburnrail

#endif
