#ifndef AUBURNRAIL_OBSERVE_METRICKIND_H
#define AUBURNRAIL_OBSERVE_METRICKIND_H

#include <core/EnumTable.h>

#include <cstdint>

namespace auburnrail {

/// Kinds of metrics; the names are those of the text exposition format.
enum class MetricKind : std::uint8_t {
    Counter,      ///< Only grows.
    Gauge,        ///< Last value set.
    Distribution, ///< Count, sum, maximum and quantiles of the values.
};

template <>
inline constexpr auto ENUM_NAMES<MetricKind> = std::to_array<EnumName<MetricKind>>({
    {MetricKind::Counter, "counter"},
    {MetricKind::Gauge, "gauge"},
    {MetricKind::Distribution, "summary"},
});

} // namespace auburnrail

#endif
