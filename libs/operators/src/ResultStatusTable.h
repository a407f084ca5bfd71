#ifndef AUBURNRAIL_OPERATORS_RESULTSTATUSTABLE_H
#define AUBURNRAIL_OPERATORS_RESULTSTATUSTABLE_H

#include <operators/SubmitAnswer.h>

namespace auburnrail::detail {

constexpr auto HTTP_OK = 200;
constexpr auto HTTP_BAD_REQUEST = 400;
constexpr auto HTTP_MISDIRECTED = 421;

/// HTTP status of the answer to a command.
[[nodiscard]] auto httpStatusOf(const SubmitAnswer &answer) -> int;

} // namespace auburnrail::detail

#endif
