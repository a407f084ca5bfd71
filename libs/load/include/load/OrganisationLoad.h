#ifndef AUBURNRAIL_LOAD_ORGANISATIONLOAD_H
#define AUBURNRAIL_LOAD_ORGANISATIONLOAD_H

#include <string>

namespace auburnrail {

/// One organisation of a profile.
struct OrganisationLoad
{
    std::string name;
    double rate = 0;  ///< Requests per second that it is allowed.
    double burst = 0; ///< Requests that it is allowed at once.
    /// Requests per second that it sends, as a multiple of `rate`.
    double sentShare = 0.6;
};

} // namespace auburnrail

#endif
