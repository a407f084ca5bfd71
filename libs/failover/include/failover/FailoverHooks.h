#ifndef AUBURNRAIL_FAILOVER_FAILOVERHOOKS_H
#define AUBURNRAIL_FAILOVER_FAILOVERHOOKS_H

#include <failover/FailoverRecord.h>
#include <failover/FenceAnswer.h>
#include <failover/GroupEndpoint.h>

#include <core/Revision.h>
#include <core/Time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail {

/// Effects of a FailoverCoordinator. Called without its mutex. A `done` is called at most once,
/// with the time of the answer; when it is never called, the step is repeated. `term` is always the
/// term of the attempt.
struct FailoverHooks
{
    /// Commits the term with phase `fencing`. Answers the revision of that change; nothing when it
    /// was not committed.
    std::function<auto(const std::string &group, std::uint64_t term,
                       std::function<auto(std::optional<Revision>, TimePoint)->void> done)
                      ->void>
        grantTerm;

    /// Sends a fence. Answers nothing when the endpoint gave no answer.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       std::function<auto(std::optional<FenceAnswer>, TimePoint)->void> done)
                      ->void>
        fence;

    /// True once every live lease names `revision` or a later one.
    std::function<auto(Revision revision, TimePoint now)->bool> isInForce;

    /// Makes the endpoint primary of the term. Repeating it at the same endpoint has no effect.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const std::vector<GroupEndpoint> &members,
                       std::function<auto(bool, TimePoint)->void> done)
                      ->void>
        promote;

    /// Commits the primary with phase `serving`.
    std::function<auto(const std::string &group, std::uint64_t term, const std::string &primary,
                       std::function<auto(bool, TimePoint)->void> done)
                      ->void>
        publish;

    /// Makes the endpoint a replica of `primary`.
    std::function<auto(const GroupEndpoint &endpoint, const std::string &group, std::uint64_t term,
                       const GroupEndpoint &primary)
                      ->void>
        follow;

    /// Keeps the account of a failover that ended.
    std::function<auto(const FailoverRecord &record)->void> explain;
};

} // namespace auburnrail

#endif
