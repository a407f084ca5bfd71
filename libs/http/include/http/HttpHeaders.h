#ifndef AUBURNRAIL_HTTP_HTTPHEADERS_H
#define AUBURNRAIL_HTTP_HTTPHEADERS_H

#include <map>
#include <string>

namespace auburnrail {

/// HTTP headers by lower-case name.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

} // namespace auburnrail

#endif
