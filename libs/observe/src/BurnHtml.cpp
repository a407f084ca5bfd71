#include <observe/BurnHtml.h>

#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <string_view>

namespace auburnrail {

namespace {

constexpr auto BAR_WIDTH_PX = 300;

constexpr auto HEAD = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budgets</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; text-align: left; }
.burning { color: #b00020; font-weight: bold; }
</style></head><body><h1>Error budgets</h1>
)";

auto escape(std::string_view value) -> std::string
{
    return absl::StrReplaceAll(
        std::string(value),
        {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}, {"'", "&#39;"}});
}

auto bar(double part, std::string_view colour) -> std::string
{
    const auto width = std::clamp(part, 0.0, 1.0) * BAR_WIDTH_PX;
    return absl::StrFormat("<svg width=\"%d\" height=\"14\" role=\"img\">"
                           "<rect width=\"%d\" height=\"14\" fill=\"#ddd\"/>"
                           "<rect width=\"%.1f\" height=\"14\" fill=\"%s\"/></svg>",
                           BAR_WIDTH_PX, BAR_WIDTH_PX, width, std::string(colour));
}

auto appendStatus(std::string &text, const BurnStatus &status) -> void
{
    absl::StrAppendFormat(&text,
                          "<h2>%s</h2><p>%s, target %g: %d good, %d bad</p>"
                          "<p>%s %.1f%% of the budget left</p><table>",
                          escape(status.objective), std::string(nameOf(status.kind)), status.target,
                          status.count.good, status.count.bad,
                          bar(status.remainingBudget, "#2e7d32"), 100 * status.remainingBudget);
    for (const auto &rate : status.rates) {
        absl::StrAppendFormat(&text,
                              "<tr class=\"%s\"><td>%s</td><td>%s</td>"
                              "<td>%.2f and %.2f of %.1f%s</td></tr>",
                              rate.burning ? "burning" : "", escape(rate.rule),
                              bar(rate.longRate / rate.factor, "#ef6c00"), rate.shortRate,
                              rate.longRate, rate.factor, rate.burning ? ", burning" : "");
    }
    text += "</table>";
    if (status.spenders.empty())
        return;
    text += "<table><tr><th>spent by</th><th>service</th><th>organisation</th><th></th></tr>";
    for (const auto &spender : status.spenders) {
        absl::StrAppendFormat(&text, "<tr><td>%s</td><td>%s</td><td>%s</td><td>%s %.1f%%</td></tr>",
                              std::string(nameOf(spender.reason)), escape(spender.service),
                              escape(spender.organisation), bar(spender.part, "#1565c0"),
                              100 * spender.part);
    }
    text += "</table>\n";
}

} // namespace

auto burnHtml(const std::vector<BurnStatus> &statuses) -> std::string
{
    auto text = std::string(HEAD);
    for (const auto &status : statuses)
        appendStatus(text, status);
    return text + "</body></html>\n";
}

} // namespace auburnrail
