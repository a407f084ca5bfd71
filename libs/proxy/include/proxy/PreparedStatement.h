#ifndef AUBURNRAIL_PROXY_PREPAREDSTATEMENT_H
#define AUBURNRAIL_PROXY_PREPAREDSTATEMENT_H

#include <string>
#include <tuple>

namespace auburnrail {

/// A statement prepared by a client, without the name that it has in the session.
struct PreparedStatement
{
    std::string shape;
    bool writes = false;

    auto operator==(const PreparedStatement &) const -> bool = default;

    auto operator<(const PreparedStatement &other) const -> bool
    {
        return std::tie(this->shape, this->writes) < std::tie(other.shape, other.writes);
    }
};

} // namespace auburnrail

#endif
