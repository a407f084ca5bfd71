#include <entry/ObservedPositions.h>

#include <algorithm>
#include <compare>

namespace auburnrail {

auto ObservedPositions::add(const StampedPosition &observation) -> void
{
    auto &rows = this->observations;
    // No structured binding: Clang 14 doesn't capture one.
    const auto &position = observation.position;
    const auto &after = observation.after;
    if (!rows.empty() && rows.back().after.leadership != after.leadership) {
        if (rows.back().after.leadership > after.leadership)
            return;
        rows.clear();
    }
    const auto next = std::find_if(rows.begin(), rows.end(), [&](const StampedPosition &row) {
        return row.after.at >= after.at;
    });
    // A position that is not higher says more if its stamp is not older.
    if (next != rows.end() && std::is_lteq(next->position <=> position))
        return;
    const auto isSame = next != rows.end() && next->after == after;
    const auto inserted = rows.insert(isSame ? rows.erase(next) : next, observation);
    const auto first = std::find_if(rows.begin(), inserted, [&](const StampedPosition &row) {
        return std::is_gteq(row.position <=> position);
    });
    rows.erase(first, inserted);
    this->thin();
}

auto ObservedPositions::positions() const -> const std::vector<StampedPosition> &
{
    return this->observations;
}

auto ObservedPositions::thin() -> void
{
    auto &rows = this->observations;
    const auto newest = rows.back().after.at;
    std::erase_if(rows,
                  [&](const StampedPosition &row) { return newest - row.after.at > MAX_AGE; });
    if (rows.size() <= MAX_POSITIONS)
        return;
    // The row goes that leaves the smallest gap for its age. The newest two and the oldest stay.
    auto best = rows.begin() + 1;
    auto smallest = 0.0;
    for (auto row = rows.begin() + 1; row + 2 < rows.end(); ++row) {
        const auto before = (row - 1)->after.at;
        const auto gap = static_cast<double>(((row + 1)->after.at - before).count())
                         / static_cast<double>((newest - before).count());
        if (row == rows.begin() + 1 || gap < smallest) {
            best = row;
            smallest = gap;
        }
    }
    rows.erase(best);
}

} // namespace auburnrail
