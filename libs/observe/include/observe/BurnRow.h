#ifndef AUBURNRAIL_OBSERVE_BURNROW_H
#define AUBURNRAIL_OBSERVE_BURNROW_H

#include <observe/BurnCount.h>
#include <observe/BurnKey.h>

namespace auburnrail {

/// The count of one key.
struct BurnRow
{
    BurnKey key;
    BurnCount count;

    auto operator==(const BurnRow &) const -> bool = default;
};

} // namespace auburnrail

#endif
