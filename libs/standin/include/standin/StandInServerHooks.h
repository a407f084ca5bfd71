#ifndef AUBURNRAIL_STANDIN_STANDINSERVERHOOKS_H
#define AUBURNRAIL_STANDIN_STANDINSERVERHOOKS_H

#include <functional>

namespace auburnrail {

/// Effects of a StandInServer on its process.
struct StandInServerHooks
{
    std::function<auto()->void> crash; ///< Ends the process at once; must be set.
};

} // namespace auburnrail

#endif
