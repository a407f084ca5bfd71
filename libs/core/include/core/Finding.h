#ifndef AUBURNRAIL_CORE_FINDING_H
#define AUBURNRAIL_CORE_FINDING_H

#include <core/Place.h>

#include <string>

namespace auburnrail {

/// One fault found in some input.
struct Finding
{
    Place place;
    std::string message;
};

} // namespace auburnrail

#endif
