#include <observe/BurnText.h>

#include <absl/strings/str_format.h>

namespace auburnrail {

auto burnText(const std::vector<BurnStatus> &statuses) -> std::string
{
    auto text = std::string();
    for (const auto &status : statuses) {
        absl::StrAppendFormat(&text, "%s (%s, target %g): %d good, %d bad, budget left %.1f%%\n",
                              status.objective, std::string(nameOf(status.kind)), status.target,
                              status.count.good, status.count.bad, 100 * status.remainingBudget);
        for (const auto &rate : status.rates) {
            absl::StrAppendFormat(&text, "  burn %s: %.2f and %.2f of %.1f%s\n", rate.rule,
                                  rate.shortRate, rate.longRate, rate.factor,
                                  rate.burning ? " BURNING" : "");
        }
        for (const auto &spender : status.spenders) {
            absl::StrAppendFormat(&text, "  spent %.1f%%: %s, service %s, organisation %s, %d\n",
                                  100 * spender.part, std::string(nameOf(spender.reason)),
                                  spender.service, spender.organisation, spender.bad);
        }
    }
    return text;
}

} // namespace auburnrail
