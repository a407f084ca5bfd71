#ifndef AUBURNRAIL_HTTP_QUERYSTRING_H
#define AUBURNRAIL_HTTP_QUERYSTRING_H

#include <map>
#include <string>

namespace auburnrail {

/// Path and query parameters of a request target.
struct QueryString
{
    std::string path;
    std::map<std::string, std::string> parameters;

    /// Value of a parameter, or empty.
    [[nodiscard]] auto value(const std::string &name) const -> std::string;
};

/// Splits and decodes a target. A target that is no URI gives an empty path.
[[nodiscard]] auto parseTarget(const std::string &target) -> QueryString;

} // namespace auburnrail

#endif
