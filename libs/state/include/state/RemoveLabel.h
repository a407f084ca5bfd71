#ifndef AUBURNRAIL_STATE_REMOVELABEL_H
#define AUBURNRAIL_STATE_REMOVELABEL_H

#include <state/ObjectKind.h>

#include <string>

namespace auburnrail {

/// Removes one label of an object; NotFound when it does not have the label.
struct RemoveLabel
{
    ObjectKind kind = ObjectKind::Service;
    std::string name;
    std::string key;

    auto operator==(const RemoveLabel &) const -> bool = default;
};

} // namespace auburnrail

#endif
