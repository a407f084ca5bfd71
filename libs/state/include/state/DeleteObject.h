#ifndef AUBURNRAIL_STATE_DELETEOBJECT_H
#define AUBURNRAIL_STATE_DELETEOBJECT_H

#include <state/ObjectKind.h>

#include <string>

namespace auburnrail {

/// Deletes an object that no other object refers to. A key must be withdrawn first.
struct DeleteObject
{
    ObjectKind kind = ObjectKind::Service;
    std::string name;

    auto operator==(const DeleteObject &) const -> bool = default;
};

} // namespace auburnrail

#endif
