#include <load/LoadProfile.h>

namespace auburnrail {

namespace {

/// Eight organisations, a few of them large: requests per second.
constexpr auto RATES = {120.0, 80.0, 50.0, 20.0, 15.0, 10.0, 10.0, 5.0};

auto makeOrganisations(const std::string &prefix, double scale, double burstSeconds)
    -> std::vector<OrganisationLoad>
{
    auto organisations = std::vector<OrganisationLoad>();
    for (const auto rate : RATES) {
        organisations.push_back(
            OrganisationLoad{.name = prefix + std::to_string(organisations.size() + 1),
                             .rate = rate * scale,
                             .burst = rate * scale * burstSeconds});
    }
    return organisations;
}

} // namespace

auto makeLoadProfile(ProfileName name, double scale) -> LoadProfile
{
    if (name == ProfileName::Kootenay) {
        // Mostly writes, with short deadlines because people wait for them.
        return LoadProfile{.services = {"readings", "schedules", "audits"},
                           .organisations = makeOrganisations("shed-", scale, 2),
                           .readShare = 0.35,
                           .agedReadShare = 0.15,
                           .transactionShare = 0.1,
                           .maxAge = std::chrono::milliseconds(2000),
                           .deadline = std::chrono::milliseconds(3000)};
    }
    // Mostly reads, many of them of a stated age.
    return LoadProfile{.services = {"bales", "loads", "accounts"},
                       .organisations = makeOrganisations("yard-", scale, 1),
                       .readShare = 0.25,
                       .agedReadShare = 0.4,
                       .transactionShare = 0.05,
                       .maxAge = std::chrono::milliseconds(5000),
                       .deadline = std::chrono::milliseconds(5000)};
}

} // namespace auburnrail
