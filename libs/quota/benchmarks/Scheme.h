#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_SCHEME_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_SCHEME_H

#include <core/Time.h>

#include <cstddef>
#include <functional>
#include <string>

namespace auburnrail {

/// One way to enforce limits over all entries.
struct Scheme
{
    std::string name;
    Duration askDelay = Duration::zero(); ///< Added to each request before it is decided.

    /// Takes a token at an entry; `first` is false for a request that waits and was counted before.
    std::function<auto(std::size_t entry, const std::string &organisation, bool first)->bool>
        acquire;

    /// How many requests wait at an entry; may be empty.
    std::function<
        auto(std::size_t entry, const std::string &organisation, std::size_t waiting)->void>
        setBacklog;

    /// Cuts the last zone off from the leader, or ends that.
    std::function<auto(bool cut)->void> setCut;

    /// Messages sent so far.
    std::function<auto()->std::size_t> messages;
};

} // namespace auburnrail

#endif
