#include <observe/detail/BurnBuckets.h>

#include <algorithm>
#include <array>

namespace auburnrail::detail {

namespace {

/// Width of a bucket and number of buckets kept, by BurnWidth. The minutes cover the longest window
/// of the first rule, the ten minutes that of the second, the hours 30 days; each keeps one more
/// because the current bucket is not full.
struct WidthRow
{
    std::int64_t millis;
    std::int64_t kept;
};

constexpr auto WIDTH_ROWS = std::to_array<WidthRow>({
    {60'000, 61},
    {600'000, 37},
    {3'600'000, 721},
});

// About 4 MB for each width.
constexpr auto ROW_LIMIT = std::size_t(16'384);

constexpr auto OTHER = "other";

auto rowOf(BurnWidth width) -> const WidthRow &
{
    return WIDTH_ROWS[static_cast<std::size_t>(width)];
}

} // namespace

BurnBuckets::BurnBuckets(BurnWidth width)
    : width(width)
{
}

auto BurnBuckets::add(const BurnKey &key, BurnCount count, std::int64_t atMillis) -> void
{
    const auto &widthRow = rowOf(this->width);
    const auto start = atMillis - atMillis % widthRow.millis;
    if (!this->buckets.empty()) {
        const auto latest = std::max(start, this->buckets.rbegin()->first);
        const auto oldest = latest - (widthRow.kept - 1) * widthRow.millis;
        if (start < oldest)
            return;
        while (!this->buckets.empty() && this->buckets.begin()->first < oldest) {
            this->rowCount -= this->buckets.begin()->second.size();
            this->buckets.erase(this->buckets.begin());
        }
    }
    auto &rows = this->buckets[start];
    auto found = rows.find(key);
    if (found == rows.end()) {
        const auto full = this->rowCount >= ROW_LIMIT;
        const auto newKey = full ? BurnKey{key.objective, OTHER, OTHER, key.reason} : key;
        const auto [position, isNew] = rows.try_emplace(newKey);
        this->rowCount += isNew ? 1 : 0;
        found = position;
    }
    found->second.good += count.good;
    found->second.bad += count.bad;
}

auto BurnBuckets::visitLast(
    std::int64_t count, std::int64_t nowMillis,
    const std::function<auto(std::int64_t startMillis, const Rows &rows)->void> &visit) const
    -> void
{
    const auto millis = rowOf(this->width).millis;
    const auto current = nowMillis - nowMillis % millis;
    const auto first = this->buckets.lower_bound(current - (count - 1) * millis);
    for (auto bucket = first; bucket != this->buckets.end() && bucket->first <= current; ++bucket)
        visit(bucket->first, bucket->second);
}

auto BurnBuckets::widthMillis() const -> std::int64_t
{
    return rowOf(this->width).millis;
}

} // namespace auburnrail::detail
