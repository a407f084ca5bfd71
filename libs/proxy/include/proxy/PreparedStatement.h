#ifndef AUBURNRAIL_PROXY_PREPAREDSTATEMENT_H
#define AUBURNRAIL_PROXY_PREPAREDSTATEMENT_H

#include <string>

namespace auburnrail {

/// A statement that a caller prepared, without the name it has in its session.
struct PreparedStatement
{
    std::string shape;
    bool writes = false;

    auto operator==(const PreparedStatement &) const -> bool = default;
};

} // namespace auburnrail

#endif
