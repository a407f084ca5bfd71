#include <observe/ExplainText.h>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

namespace auburnrail {

auto explainText(const ExplainRecord &record) -> std::string
{
    const auto at = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::FromUnixMillis(record.atMillis),
                                     absl::UTCTimeZone());
    auto text = absl::StrCat(at, " ", std::string(nameOf(record.kind)), " ", record.id, ": ",
                             record.decision, " (", std::string(nameOf(record.reason)), ")");
    if (!record.organisation.empty())
        absl::StrAppend(&text, " organisation=", record.organisation);
    if (!record.service.empty())
        absl::StrAppend(&text, " service=", record.service);
    for (const auto &fact : record.facts)
        absl::StrAppend(&text, " ", fact.name, "=", fact.value);
    return text;
}

} // namespace auburnrail
