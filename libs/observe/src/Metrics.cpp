#include <observe/Metrics.h>

#include <core/RankedLock.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <utility>

namespace auburnrail {

namespace {

const auto OVERFLOW_LABELS = Labels{{"overflow", "true"}};

/// The shortest text that reads back as `value`. StrCat alone rounds to six digits.
auto printValue(double value) -> std::string
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    auto buffer = std::array<char, 32>();
    const auto printed = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), printed.ptr};
}

/// `{a="b",c="d"}`, or nothing without labels.
auto printLabels(const Labels &labels) -> std::string
{
    auto text = std::string();
    for (const auto &[name, value] : labels) {
        const auto escaped =
            absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
        absl::StrAppend(&text, text.empty() ? "{" : ",", name, "=\"", escaped, "\"");
    }
    return text.empty() ? text : text + "}";
}

auto printHead(std::string &text, std::string_view name, std::string_view help,
               std::string_view kind) -> void
{
    const auto escaped = absl::StrReplaceAll(std::string(help), {{"\\", "\\\\"}, {"\n", "\\n"}});
    const auto nameText = std::string(name);
    absl::StrAppend(&text, "# HELP ", nameText, " ", escaped, "\n");
    absl::StrAppend(&text, "# TYPE ", nameText, " ", std::string(kind), "\n");
}

} // namespace

Metrics::Metrics(std::size_t seriesLimit)
    : seriesLimit(seriesLimit)
{
}

auto Metrics::series(MetricKind kind, std::string_view name, std::string_view help, Labels labels)
    -> MetricId
{
    const RankedLock lock(this->mutex);
    auto &family = this->families[std::string(name)];
    assert((family.series.empty() || family.kind == kind)
           && "metric name in use with another kind");
    family.kind = kind;
    family.help = help;
    if (!family.series.contains(labels) && this->rows.size() >= this->seriesLimit)
        labels = OVERFLOW_LABELS;
    const auto [found, isNew] = family.series.try_emplace(labels, this->rows.size());
    if (isNew) {
        auto row = detail::MetricSeries{.labels = std::move(labels)};
        if (kind == MetricKind::Distribution)
            row.distribution.emplace();
        this->rows.push_back(std::move(row));
    }
    return found->second;
}

auto Metrics::add(MetricId id, double amount) -> void
{
    assert(amount >= 0 && "a counter only grows");
    const RankedLock lock(this->mutex);
    this->rows[id].value += amount;
}

auto Metrics::set(MetricId id, double value) -> void
{
    const RankedLock lock(this->mutex);
    this->rows[id].value = value;
}

auto Metrics::record(MetricId id, double value) -> void
{
    const RankedLock lock(this->mutex);
    assert(this->rows[id].distribution && "record() is for distributions");
    this->rows[id].distribution->add(value);
}

auto Metrics::toText() -> std::string
{
    const RankedLock lock(this->mutex);
    auto text = std::string();
    for (const auto &[name, family] : this->families) {
        printHead(text, name, family.help, nameOf(family.kind));
        if (family.kind == MetricKind::Distribution) {
            this->printDistributions(name, family, text);
            continue;
        }
        for (const auto &[labels, id] : family.series)
            absl::StrAppend(&text, name, printLabels(labels), " ", printValue(this->rows[id].value),
                            "\n");
    }
    return text;
}

auto Metrics::printDistributions(const std::string &name, const detail::MetricFamily &family,
                                 std::string &text) const -> void
{
    auto maxima = std::string();
    for (const auto &[labels, id] : family.series) {
        const auto summary = this->rows[id].distribution->summary();
        for (auto i = std::size_t(0); i < QUANTILES.size(); ++i) {
            auto quantileLabels = labels;
            quantileLabels["quantile"] = absl::StrCat(QUANTILES[i]);
            absl::StrAppend(&text, name, printLabels(quantileLabels), " ",
                            printValue(summary.quantiles[i]), "\n");
        }
        const auto suffix = printLabels(labels);
        absl::StrAppend(&text, name, "_sum", suffix, " ", printValue(summary.sum), "\n");
        absl::StrAppend(&text, name, "_count", suffix, " ", summary.count, "\n");
        absl::StrAppend(&maxima, name, "_max", suffix, " ", printValue(summary.max), "\n");
    }
    printHead(text, name + "_max", "Greatest value of " + name, nameOf(MetricKind::Gauge));
    text += maxima;
}

} // namespace auburnrail
