#ifndef AUBURNRAIL_OBSERVE_EXPLAINLOG_H
#define AUBURNRAIL_OBSERVE_EXPLAINLOG_H

#include <observe/ExplainRecord.h>
#include <observe/detail/ExplainRing.h>

#include <core/RankedMutex.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace auburnrail {

/// The last explanations of one process. Each kind has its own ring, so that many requests do not
/// push out the last failover. Look-ups scan a ring; they serve operators, not requests. Thread
/// rule: all operations are safe from any thread.
class ExplainLog
{
public:
    /// Keeps the last `capacity` records of each kind; `capacity` is greater than 0.
    explicit ExplainLog(std::size_t capacity);

    auto record(ExplainRecord record) -> void;

    /// Requests and refusals with this request id, oldest first.
    [[nodiscard]] auto byRequest(std::string_view requestId) -> std::vector<ExplainRecord>;

    /// The last `limit` refusals of `organisation`, or of all when it is empty; newest first.
    [[nodiscard]] auto refusals(std::string_view organisation, std::size_t limit)
        -> std::vector<ExplainRecord>;

    /// The last `limit` failover records of `group`, or of all when it is empty; newest first.
    [[nodiscard]] auto failovers(std::string_view group, std::size_t limit)
        -> std::vector<ExplainRecord>;

private:
    using Predicate = std::function<auto(const ExplainRecord &record)->bool>;

    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    auto newest(ExplainKind kind, std::size_t limit, const Predicate &matches) const
        -> std::vector<ExplainRecord>;

    const std::size_t capacity;
    RankedMutex mutex{LockRank::ExplainLog};
    std::array<detail::ExplainRing, ENUM_NAMES<ExplainKind>.size()> rings ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail

#endif
