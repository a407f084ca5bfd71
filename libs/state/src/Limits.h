#ifndef AUBURNRAIL_STATE_LIMITS_H
#define AUBURNRAIL_STATE_LIMITS_H

#include <cstddef>

namespace auburnrail::detail {

constexpr auto MAX_SELECTOR_BYTES = std::size_t(4096);
constexpr auto MAX_LABELS = std::size_t(64);

} // namespace auburnrail::detail

#endif
