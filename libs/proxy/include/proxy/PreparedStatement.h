#ifndef AUBURNRAIL_PROXY_PREPAREDSTATEMENT_H
#define AUBURNRAIL_PROXY_PREPAREDSTATEMENT_H

#include <compare>
#include <string>

namespace auburnrail {

/// A statement prepared by a client, without the name that it has in the session.
struct PreparedStatement
{
    std::string shape;
    bool writes = false;

    auto operator<=>(const PreparedStatement &) const = default;
};

} // namespace auburnrail

#endif
