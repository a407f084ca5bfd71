#ifndef AUBURNRAIL_CORE_OUTCOME_H
#define AUBURNRAIL_CORE_OUTCOME_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// What is known about the effect of a request.
enum class Outcome : std::uint8_t {
    NotRun,  ///< It had no effect and never will.
    Ran,     ///< It took effect exactly once.
    Unknown, ///< It may or may not have taken effect.
};

template <>
inline constexpr auto ENUM_NAMES<Outcome> = std::to_array<EnumName<Outcome>>({
    {Outcome::NotRun, "not-run"},
    {Outcome::Ran, "ran"},
    {Outcome::Unknown, "unknown"},
});

} // namespace auburnrail

#endif
