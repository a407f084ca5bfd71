#ifndef AUBURNRAIL_OBSERVE_ENUMCOUNTERS_H
#define AUBURNRAIL_OBSERVE_ENUMCOUNTERS_H

#include <observe/Metrics.h>

#include <core/EnumTable.h>

#include <array>
#include <string>
#include <string_view>

namespace auburnrail {

/// One counter for each value of the enumeration `E`, labelled outcome="name of the value". Its
/// values are 0, 1, 2 and so on. Safe from any thread.
template <typename E>
class EnumCounters
{
public:
    /// Registers the series; `metrics` must outlive this object.
    EnumCounters(Metrics &counterMetrics, std::string_view name, std::string_view help)
        : metrics(counterMetrics)
    {
        for (const auto &row : ENUM_NAMES<E>)
            this->ids.at(static_cast<std::size_t>(row.value)) = counterMetrics.series(
                MetricKind::Counter, name, help, {{"outcome", std::string(row.name)}});
    }

    auto add(E value) -> void
    {
        this->metrics.add(this->ids.at(static_cast<std::size_t>(value)));
    }

private:
    Metrics &metrics;
    std::array<MetricId, ENUM_NAMES<E>.size()> ids;
};

} // namespace auburnrail

#endif
