#ifndef AUBURNRAIL_OPERATORS_EXPLANATION_H
#define AUBURNRAIL_OPERATORS_EXPLANATION_H

namespace auburnrail::detail {

/// One verb of `explain`, as the command line offers it.
struct Explanation
{
    const char *verb;
    const char *argument; ///< Name of its only argument.
    const char *meaning;
};

} // namespace auburnrail::detail

#endif
