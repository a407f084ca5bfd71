#ifndef AUBURNRAIL_CORE_POSITIONTEXT_H
#define AUBURNRAIL_CORE_POSITIONTEXT_H

#include <core/Position.h>

#include <optional>
#include <string>
#include <string_view>

namespace auburnrail {

/// TERM.INDEX
[[nodiscard]] auto positionText(const Position &position) -> std::string;

/// Reads TERM.INDEX; nothing if the text is no such pair of integers.
[[nodiscard]] auto parsePositionText(std::string_view text) -> std::optional<Position>;

} // namespace auburnrail

#endif
