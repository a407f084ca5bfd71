#ifndef AUBURNRAIL_QUOTA_BENCHMARKS_SCHEME_H
#define AUBURNRAIL_QUOTA_BENCHMARKS_SCHEME_H

#include <core/Time.h>

#include <cstddef>
#include <functional>
#include <string>

namespace auburnrail {

/// A scheme for enforcing limits over all entries.
struct Scheme
{
    std::string name;
    Duration decisionDelay = Duration::zero(); ///< Delay before the decision on each request.

    /// Takes a token at an entry; `first` is false for a waiting request that was counted before.
    std::function<auto(std::size_t entry, const std::string &organisation, bool first)->bool>
        acquire;

    /// Sets how many requests wait at an entry; may be empty.
    std::function<
        auto(std::size_t entry, const std::string &organisation, std::size_t waiting)->void>
        setBacklog;

    /// Starts or ends a network partition between the last zone and the leader.
    std::function<auto(bool partitioned)->void> setPartitioned;

    /// Number of messages sent so far.
    std::function<auto()->std::size_t> messages;
};

} // namespace auburnrail

#endif
