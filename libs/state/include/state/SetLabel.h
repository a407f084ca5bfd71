#ifndef AUBURNRAIL_STATE_SETLABEL_H
#define AUBURNRAIL_STATE_SETLABEL_H

#include <state/ObjectKind.h>

#include <string>

namespace auburnrail {

/// Sets one label of an object.
struct SetLabel
{
    ObjectKind kind = ObjectKind::Service;
    std::string name;
    std::string key;
    std::string value;

    auto operator==(const SetLabel &) const -> bool = default;
};

} // namespace auburnrail

#endif
