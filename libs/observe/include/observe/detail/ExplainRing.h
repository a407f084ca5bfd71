#ifndef AUBURNRAIL_OBSERVE_DETAIL_EXPLAINRING_H
#define AUBURNRAIL_OBSERVE_DETAIL_EXPLAINRING_H

#include <observe/ExplainRecord.h>

#include <cstddef>
#include <vector>

namespace auburnrail::detail {

/// The last records of one kind.
struct ExplainRing
{
    std::vector<ExplainRecord> records;
    std::size_t next = 0; ///< Where the next record goes; in a full ring, the oldest one.
};

} // namespace auburnrail::detail

#endif
