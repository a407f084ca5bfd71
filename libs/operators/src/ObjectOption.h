#ifndef AUBURNRAIL_OPERATORS_OBJECTOPTION_H
#define AUBURNRAIL_OPERATORS_OBJECTOPTION_H

#include "ValueType.h"

#include <state/ObjectKind.h>

#include <span>
#include <string_view>

namespace auburnrail::detail {

/// One option of `KIND set NAME`.
struct ObjectOption
{
    ObjectKind kind = ObjectKind::Service;
    std::string_view flag;   ///< With its dashes.
    std::string_view member; ///< JSON member of the object.
    ValueType type = ValueType::Text;
    std::string_view meaning;
};

/// Every option of every kind that operators set.
[[nodiscard]] auto objectOptions() -> std::span<const ObjectOption>;

} // namespace auburnrail::detail

#endif
