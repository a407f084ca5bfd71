#ifndef AUBURNRAIL_LOAD_LOADPROFILE_H
#define AUBURNRAIL_LOAD_LOADPROFILE_H

#include <load/OrganisationLoad.h>
#include <load/ProfileName.h>

#include <core/Time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace auburnrail {

/// Shape of a workload.
struct LoadProfile
{
    std::vector<std::string> services;
    std::vector<OrganisationLoad> organisations;
    std::size_t sessionsPerOrganisation = 24;
    double readShare = 0; ///< Shares of the kinds of request; writes are the rest.
    double agedReadShare = 0;
    double transactionShare = 0;
    Duration maxAge{};   ///< Of reads with a stated age.
    Duration deadline{}; ///< Of each request.
};

/// The profile with all rates multiplied by `scale`.
[[nodiscard]] auto makeLoadProfile(ProfileName name, double scale) -> LoadProfile;

} // namespace auburnrail

#endif
