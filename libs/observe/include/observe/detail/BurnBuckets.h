#ifndef AUBURNRAIL_OBSERVE_DETAIL_BURNBUCKETS_H
#define AUBURNRAIL_OBSERVE_DETAIL_BURNBUCKETS_H

#include <observe/BurnCount.h>
#include <observe/BurnKey.h>
#include <observe/BurnWidth.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace auburnrail::detail {

/// Counts by key in time buckets of one width. Memory is bounded by the number of buckets kept and
/// by a limit of rows; past it, new keys are counted under the service and organisation "other".
/// Thread rule: guarded by its owner.
class BurnBuckets
{
public:
    using Rows = std::map<BurnKey, BurnCount>;

    explicit BurnBuckets(BurnWidth width);

    /// Adds to the bucket of `atMillis`; ignored when that is older than the buckets kept.
    auto add(const BurnKey &key, BurnCount count, std::int64_t atMillis) -> void;

    /// Calls `visit` with the rows of each of the last `buckets` buckets, the one of `nowMillis`
    /// included.
    auto visitLast(
        std::int64_t buckets, std::int64_t nowMillis,
        const std::function<auto(std::int64_t startMillis, const Rows &rows)->void> &visit) const
        -> void;

    /// Width of a bucket in milliseconds.
    [[nodiscard]] auto widthMillis() const -> std::int64_t;

private:
    BurnWidth width;
    std::map<std::int64_t, Rows> buckets; ///< By start.
    std::size_t rowCount = 0;
};

} // namespace auburnrail::detail

#endif
