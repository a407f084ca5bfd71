#include <core/Findings.h>

#include <utility>

namespace auburnrail {

auto Findings::add(Place place, std::string message) -> void
{
    this->findings.push_back(Finding{std::move(place), std::move(message)});
}

auto Findings::empty() const -> bool
{
    return this->findings.empty();
}

auto Findings::all() const -> const std::vector<Finding> &
{
    return this->findings;
}

auto Findings::toString() const -> std::string
{
    auto text = std::string();
    for (const auto &finding : this->findings) {
        const auto place = auburnrail::toString(finding.place);
        text += place.empty() ? finding.message : place + ": " + finding.message;
        text += "\n";
    }
    return text;
}

auto Findings::toStatus() const -> absl::Status
{
    if (this->findings.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(this->toString());
}

} // namespace auburnrail
